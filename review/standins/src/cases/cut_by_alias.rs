//! Another writer lists a server of its own at the address of a replica.

use {
    crate::{
        Verdict,
        fleet::{CONFIG_APPLY, Fleet},
        process::HUP,
        record::Record,
        replica::{Work, entry, unix_ms},
        traffic::{RouteSpec, Sent, Traffic},
    },
    std::{thread, time::Duration},
};

const ROUTE: RouteSpec = RouteSpec {
    name: "memo",
    kind: "stream",
    service: "huvo11a",
    timeout_ms: 15_000,
    attempts: 1,
    resume: false,
};
/// A service that is in no configuration.
const OTHER: &str = "kept90c";
const WORK: Work = Work::Stream {
    events: 30,
    gap: Duration::from_millis(60),
};

/// The VM that gets a SIGHUP: one of three.
const SIGNALLED: usize = 0;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut fleet = Fleet::prepare(record, &["za", "zb", "zc"], &ROUTE.config());
    for (number, zone) in [(0, "za"), (1, "zb"), (2, "zc")] {
        fleet.start_replica(fleet.replica_spec(number, ROUTE.service, zone, WORK));
    }
    fleet.start_all();
    let traffic = Traffic::start(
        &fleet,
        &ROUTE,
        6,
        (Duration::from_millis(50), Duration::from_millis(1_800)),
    );
    thread::sleep(Duration::from_secs(8));
    fleet.signal(SIGNALLED, HUP);
    let signalled = record.now();
    thread::sleep(Duration::from_millis(1_800));
    if trouble {
        let mut spec = fleet.replica_spec(0, OTHER, "za", WORK);
        spec.id = "i-02d9e6b4".into();
        record.note(format!(
            "another writer lists {} of {OTHER} at {}",
            spec.id, spec.addr
        ));
        fleet.store.put(
            "keyed.servers",
            &spec.id,
            &entry(&spec, unix_ms(), 1, "ready"),
        );
    }
    thread::sleep(Duration::from_secs(4));
    let sent = traffic.finish();
    let runs = fleet.runs.lock().unwrap().clone();
    let ran = |s: &&Sent| runs.iter().any(|r| r.request == s.id);
    let due = signalled + CONFIG_APPLY.as_secs_f64();
    let near =
        |s: &&Sent| s.vm == SIGNALLED && s.at >= signalled && s.at < due && s.ended > signalled;
    let served = sent
        .iter()
        .filter(|s| s.outcome.status == 200 && s.outcome.whole)
        .count();
    let cut: Vec<_> = sent
        .iter()
        .filter(near)
        .filter(ran)
        .filter(|s| !s.outcome.whole)
        .collect();
    for s in &cut {
        record.note(format!(
            "{} was passed on, and its connection ended without a complete answer",
            s.id
        ));
    }
    let failed = sent.iter().filter(|s| s.outcome.status > 200).count();
    record.note(format!(
        "{} streams sent, {served} whole, {failed} refused or failed, {} cut that the VM got up to 2 s after its SIGHUP",
        sent.len(),
        cut.len()
    ));
    match (served, cut.len()) {
        (0, _) => Verdict::NotRun("nothing was served".into()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
