//! Lease records that another release wrote.

use {
    async_executor::Executor,
    async_io::block_on,
    clock::{SharedClock, SystemClock},
    coord::{Holder, LeaseHandle, LeaseId, LeaseManager, LeaseTiming},
    parking_lot::Mutex,
    ports::{Appended, Log, Page, PlatformFuture, Record, Stream},
    std::{sync::Arc, time::Duration},
    types::{Epoch, Incarnation},
};

const TERM: Duration = Duration::from_millis(300);
const POLL: Duration = Duration::from_millis(5);
/// Polls in which a lease is lost or gained.
const MAX_POLLS: u32 = 1_000;

struct MemoryLog {
    clock: SharedClock,
    records: Mutex<Vec<Record>>,
}

impl MemoryLog {
    fn add(&self, data: &str) -> u64 {
        let mut records = self.records.lock();
        let offset = records.len() as u64;
        records.push(Record {
            offset,
            at_ms: 0,
            data: data.into(),
        });
        offset
    }
}

impl Log for MemoryLog {
    fn append<'a>(&'a self, _: Stream, record: &'a str) -> PlatformFuture<'a, Appended> {
        let offset = self.add(record);
        Box::pin(async move { Ok(Appended { offset }) })
    }

    fn read(&self, _: Stream, from: u64, _: Duration) -> PlatformFuture<'_, Page> {
        Box::pin(async move {
            self.clock.sleep(POLL).await;
            let records = self.records.lock();
            Ok(Page {
                first: 0,
                next: records.len() as u64,
                records: records.iter().skip(from as usize).cloned().collect(),
            })
        })
    }
}

/// Waits until the token of the lease fulfils a condition; whether it does in time.
async fn wait(
    clock: &SharedClock,
    lease: &dyn LeaseHandle,
    holds: impl Fn(Option<Epoch>) -> bool,
) -> bool {
    for _ in 0..MAX_POLLS {
        if holds(lease.epoch()) {
            return true;
        }
        clock.sleep(POLL).await;
    }
    false
}

/// Runs a holder of the lease `orders`, and adds a record to the log while it holds the lease.
/// Returns whether it loses its token, and whether it claims the lease again.
fn add_record(data: &str) -> (bool, bool) {
    let clock = SystemClock::shared();
    let log = Arc::new(MemoryLog {
        clock: clock.clone(),
        records: Mutex::default(),
    });
    let lease = LeaseId::global("orders");
    let holder = Holder {
        vm: "vm-1".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    let timing = LeaseTiming {
        term: TERM,
        early: TERM / 10,
        flight: TERM / 3,
        spread: Duration::ZERO,
        ..LeaseTiming::default()
    };
    let leases = [lease.clone()];
    let manager = LeaseManager::new(log.clone(), clock.clone(), &holder, timing, leases);
    let handle = manager.handle(&lease).unwrap();
    let ex = Executor::new();
    block_on(ex.run(async {
        let _running = ex.spawn(async move { manager.run().await });
        assert!(wait(&clock, &*handle, |epoch| epoch.is_some()).await);
        let first = handle.epoch();
        let added = Epoch(log.add(data));
        let is_lost = wait(&clock, &*handle, |epoch| epoch != first).await;
        let is_later = |epoch: Option<Epoch>| epoch.is_some_and(|e| e > added);
        (is_lost, is_lost && wait(&clock, &*handle, is_later).await)
    }))
}

/// A holder went on with its token after a record that may have been the claim of another release.
#[test]
fn holder_gives_up_its_token_after_a_record_that_it_cannot_decode() {
    let claims = [
        "claim",
        r#"{"lease":{"role":"orders"},"holder":"vm-2","step":{"take":7}}"#,
    ];
    assert_eq!(claims.map(add_record), [(true, true); 2]);
}

/// A record of a new kind about one lease would interrupt the holders of all others.
#[test]
fn holder_keeps_its_token_after_a_record_of_another_lease() {
    let record = r#"{"lease":{"role":"usage"},"holder":"vm-2","step":{"take":7}}"#;
    assert_eq!(add_record(record), (false, false));
}
