//! Another writer lists a server under the id of a replica, with a service that no configuration names.

use {
    crate::{
        Verdict,
        fleet::Fleet,
        record::Record,
        replica::Work,
        traffic::{RouteSpec, Traffic},
    },
    std::{thread, time::Duration},
};

const ROUTE: RouteSpec = RouteSpec {
    name: "issue",
    kind: "unsafe",
    service: "wuno96b",
    timeout_ms: 3_000,
    attempts: 1,
    resume: false,
};
/// A service that is in no configuration.
const OTHER: &str = "kept90c";
const WORK: Work = Work::Plain(Duration::from_millis(60));

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut fleet = Fleet::prepare(record, &["za", "zb", "zc"], &ROUTE.config());
    for (number, zone) in [(0, "za"), (1, "zb"), (2, "zc")] {
        fleet.start_replica(fleet.replica_spec(number, ROUTE.service, zone, WORK));
    }
    fleet.start_all();
    let traffic = Traffic::start(
        &fleet,
        &ROUTE,
        3,
        (Duration::from_millis(100), Duration::from_millis(100)),
    );
    thread::sleep(Duration::from_secs(5));
    if trouble {
        let mut spec = fleet.replica_spec(20, OTHER, "za", WORK);
        spec.id = fleet.replica_spec(0, ROUTE.service, "za", WORK).id;
        record.note(format!(
            "another writer lists a server of {OTHER} at {} under {}",
            spec.addr, spec.id
        ));
        fleet.start_replica(spec);
    }
    thread::sleep(Duration::from_secs(5));
    let sent = traffic.finish();
    let runs = fleet.runs.lock().unwrap().clone();
    let wrong = runs.iter().filter(|r| r.service != ROUTE.service).count();
    record.note(format!(
        "{} requests sent, {} run, {wrong} of them by {OTHER}",
        sent.len(),
        runs.len()
    ));
    match (runs.len(), wrong) {
        (0, _) => Verdict::NotRun("nothing was run".into()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
