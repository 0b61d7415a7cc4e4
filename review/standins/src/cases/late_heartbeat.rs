//! A heartbeat that got no answer is done after its replica has left.

use {
    crate::{
        Verdict,
        fleet::{DRAIN, Fleet},
        record::Record,
        replica::{BEAT, Work},
        traffic::{RouteSpec, Traffic},
    },
    std::{sync::atomic::Ordering::SeqCst, thread, time::Duration},
};

const ROUTE: RouteSpec = RouteSpec {
    name: "issue",
    kind: "unsafe",
    service: "wuno96b",
    timeout_ms: 3_000,
    attempts: 1,
    resume: false,
};
const WORK: Work = Work::Plain(Duration::from_millis(60));
/// From the lost answer, the only disruption, to the removal of the entry: more than `contactMs`.
const CALM: Duration = Duration::from_millis(3_800);
/// From the lost answer until the call is done: 1 to 6 s.
const LATE: Duration = Duration::from_millis(5_500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut fleet = Fleet::prepare(record, &["za", "zb", "zc"], &ROUTE.config());
    let specs = [(0, "za"), (1, "zb"), (2, "zc"), (3, "za")];
    let specs = specs.map(|(number, zone)| fleet.replica_spec(number, ROUTE.service, zone, WORK));
    let replicas = specs.map(|spec| fleet.start_replica(spec));
    fleet.start_all();
    let traffic = Traffic::start(
        &fleet,
        &ROUTE,
        3,
        (Duration::from_millis(100), Duration::from_millis(100)),
    );
    thread::sleep(Duration::from_secs(5));
    let (leaving, store) = (&replicas[0], &fleet.store);
    let id = &leaving.spec.id;
    let late = leaving.sequence.fetch_add(1, SeqCst) + 1;
    record.note(format!(
        "heartbeat {late} of {id} gets no answer and isn't done yet"
    ));
    thread::sleep(CALM);
    leaving.leave(store);
    let left = record.now();
    record.note(format!(
        "{id} leaves: its entry is removed, after heartbeat {}",
        leaving.sequence.load(SeqCst)
    ));
    thread::sleep(LATE - CALM);
    if trouble {
        store.put("keyed.servers", id, &leaving.entry(late, "ready"));
        record.note(format!("heartbeat {late} of {id} is done"));
    }
    thread::sleep(BEAT * 3);
    store.put("keyed.servers", id, "");
    record.note(format!(
        "the entry of {id} is removed after three intervals of silence"
    ));
    let sent = traffic.finish();
    let runs = fleet.runs.lock().unwrap().clone();
    let due = left + DRAIN.as_secs_f64();
    let after = runs
        .iter()
        .filter(|r| r.replica == *id && r.at > due)
        .count();
    record.note(format!(
        "{} requests sent, {after} reached {id} later than 2 s after the removal",
        sent.len()
    ));
    match (runs.len(), after) {
        (0, _) => Verdict::NotRun("nothing was run".into()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
