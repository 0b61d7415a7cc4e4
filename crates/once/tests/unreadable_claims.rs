//! Claims in records that this release cannot read, or not completely.

use {
    clock::SystemClock,
    futures_lite::{FutureExt, future::block_on},
    once::{ClaimKey, ClaimOp, ClaimResult, ClaimState, Claimer, Fingerprint},
    parking_lot::Mutex,
    ports::{Appended, Log, Page, PlatformFuture, Record, Stream},
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    types::RequestId,
};

const RETENTION: Duration = Duration::from_secs(3600);
/// Ids have 128 bits; this is added to the short ones of the tests.
const LARGE_ID: u128 = 1 << 127;

/// A log that appends records of other processes first.
#[derive(Default)]
struct FakeLog(Mutex<Vec<Record>>);

impl FakeLog {
    fn push(&self, data: &str) -> u64 {
        let mut records = self.0.lock();
        let offset = records.len() as u64;
        records.push(Record {
            offset,
            at_ms: 0,
            data: data.into(),
        });
        offset
    }
}

impl Log for FakeLog {
    fn append<'a>(&'a self, _: Stream, record: &'a str) -> PlatformFuture<'a, Appended> {
        let offset = self.push(record);
        Box::pin(async move { Ok(Appended { offset }) })
    }

    fn read(&self, _: Stream, from: u64, _: Duration) -> PlatformFuture<'_, Page> {
        Box::pin(async move {
            // Without a pause the follower would never wait.
            async_io::Timer::after(Duration::from_millis(1)).await;
            let records = self.0.lock();
            Ok(Page {
                first: 0,
                next: records.len() as u64,
                records: records.iter().skip(from as usize).cloned().collect(),
            })
        })
    }
}

fn key(text: &str) -> ClaimKey {
    ClaimKey::new(&"rice-mill".parse().unwrap(), text)
}

fn print() -> Fingerprint {
    Fingerprint::new("POST", "/permits/renewal", b"boiler 7")
}

fn id(request: u128) -> RequestId {
    RequestId::from_bits(LARGE_ID + request)
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

fn claim(name: &str, request: u128) -> ClaimOp {
    ClaimOp::Claim {
        key: key(name),
        print: print(),
        request: id(request),
    }
}

/// Claims `name` for request 9 after another process has written `record`.
fn claim_after(record: &str, name: &str) -> ClaimResult {
    let log = Arc::new(FakeLog::default());
    log.push(record);
    let claimer = Claimer::new(log, SystemClock::shared(), RETENTION);
    let own = claimer.claim(key(name), print(), id(9));
    let follow = claimer.clone().follow_log();
    let write = claimer.clone().write_log();
    let tasks = async {
        follow.or(write).await;
        unreachable!("the tasks run until they are dropped")
    };
    block_on(own.or(tasks)).unwrap()
}

fn taken_by(request: u128) -> ClaimResult {
    ClaimResult::Taken(ClaimState::Pending(id(request)))
}

/// Operations with ids over 64 bits were taken for unreadable ones.
#[test]
fn known_operations_keep_their_meaning() {
    let (key, request) = (key("renewal"), id(4));
    let done = ClaimOp::Complete {
        key,
        request,
        answer: None,
    };
    let completed = ClaimResult::Taken(ClaimState::Completed(request, None));
    let batch = to_json(&[claim("renewal", 4), done]);
    assert_eq!(claim_after(&batch, "renewal"), completed);
    let batch = to_json(&[claim("renewal", 4), ClaimOp::Release { key, request }]);
    assert_eq!(claim_after(&batch, "renewal"), ClaimResult::Granted);
}

/// The request ran a second time: one operation of another release hid all claims of its batch.
#[test]
fn claim_beside_an_unknown_operation_is_kept() {
    let claim = to_json(&claim("renewal", 1));
    let batch = format!(r#"[{claim}, {{"extend": {{"days": 3}}}}]"#);
    assert_eq!(claim_after(&batch, "renewal"), taken_by(1));
}

/// The same for an operation of an unknown kind that names the key itself.
#[test]
fn unknown_operation_claims_the_key_that_it_names() {
    let (key, request) = (to_json(&key("renewal")), to_json(&id(2)));
    let named = format!(r#"{{"key": {key}, "request": {request}, "more": [1]}}"#);
    let batch = format!(r#"[{{"at": 7, "reserve": {named}}}]"#);
    assert_eq!(claim_after(&batch, "renewal"), taken_by(2));
}

/// A claim whose fingerprint another release writes in another form.
#[test]
fn claim_with_an_unreadable_fingerprint_is_kept() {
    let (key, request) = (to_json(&key("renewal")), to_json(&id(3)));
    let batch = format!(r#"[{{"claim": {{"key": {key}, "request": {request}, "print": [7]}}}}]"#);
    assert_eq!(claim_after(&batch, "renewal"), taken_by(3));
}

#[test]
fn record_of_another_writer_blocks_no_key() {
    for record in [
        "",
        "{",
        "7",
        "[7, null]",
        "{\"claim\": 3}",
        "[{\"claim\": 3}]",
    ] {
        assert_eq!(
            claim_after(record, "renewal"),
            ClaimResult::Granted,
            "{record}"
        );
    }
}
