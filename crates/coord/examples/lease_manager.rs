//! Two lease managers contend for a lease on an in-memory log; the first one releases it and the
//! second takes over.

use {
    async_executor::Executor,
    async_io::block_on,
    clock::{SharedClock, SystemClock},
    coord::{Holder, LeaseHandle, LeaseId, LeaseManager, LeaseTiming},
    event_listener::Event,
    futures_lite::FutureExt,
    parking_lot::Mutex,
    ports::{Appended, Log, Page, PlatformFuture, Record, Stream},
    std::{error::Error, sync::Arc, time::Duration},
    types::Incarnation,
};

/// An in-memory log with a single stream.
struct MemoryLog {
    clock: SharedClock,
    records: Mutex<Vec<Record>>,
    appended: Event,
}

impl Log for MemoryLog {
    fn append<'a>(&'a self, _: Stream, record: &'a str) -> PlatformFuture<'a, Appended> {
        Box::pin(async move {
            let offset = {
                let mut records = self.records.lock();
                let offset = records.len() as u64;
                records.push(Record {
                    offset,
                    at_ms: 0,
                    data: record.into(),
                });
                offset
            };
            self.appended.notify(usize::MAX);
            Ok(Appended { offset })
        })
    }

    fn read(&self, _: Stream, from: u64, wait: Duration) -> PlatformFuture<'_, Page> {
        Box::pin(async move {
            let appended = self.appended.listen();
            if self.records.lock().len() as u64 <= from {
                appended.or(self.clock.sleep(wait)).await;
            }
            let records = self.records.lock();
            let from = usize::try_from(from).unwrap_or(usize::MAX);
            Ok(Page {
                first: 0,
                next: records.len() as u64,
                records: records.iter().skip(from).cloned().collect(),
            })
        })
    }
}

async fn wait_held(clock: &SharedClock, lease: &dyn LeaseHandle, name: &str) {
    while lease.epoch().is_none() {
        clock.sleep(Duration::from_millis(10)).await;
    }
    println!("{name} holds the lease: {:?}", lease.epoch());
}

fn main() -> Result<(), Box<dyn Error>> {
    let clock = SystemClock::shared();
    let log = Arc::new(MemoryLog {
        clock: clock.clone(),
        records: Mutex::default(),
        appended: Event::new(),
    });
    let lease = LeaseId::global("janitor");
    let manager = |name: &str| -> Result<_, Box<dyn Error>> {
        let holder = Holder {
            vm: name.parse()?,
            incarnation: Incarnation(1),
        };
        let timing = LeaseTiming::default();
        let leases = [lease.clone()];
        let manager = LeaseManager::new(log.clone(), clock.clone(), &holder, timing, leases);
        Ok(Arc::new(manager))
    };
    let (first, second) = (manager("first")?, manager("second")?);
    let handle = |m: &LeaseManager| m.handle(&lease).ok_or("no such lease");
    let (held_first, held_second) = (handle(&first)?, handle(&second)?);
    let ex = Executor::new();
    let run = |manager: &Arc<LeaseManager>| {
        let manager = manager.clone();
        ex.spawn(async move { manager.run().await })
    };
    block_on(ex.run(async {
        let _first = run(&first);
        wait_held(&clock, &*held_first, "first").await;
        let _second = run(&second);
        first.release().await;
        wait_held(&clock, &*held_second, "second").await;
    }));
    Ok(())
}
