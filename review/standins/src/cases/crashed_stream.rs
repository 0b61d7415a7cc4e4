//! A replica crashes in the middle of answers that have neither a length nor chunks.

use {
    crate::{
        Verdict,
        fleet::Fleet,
        record::Record,
        replica::{ReplicaProcess, Work},
        traffic::{RouteSpec, Sent, Traffic},
    },
    std::{thread, time::Duration},
};

const ROUTE: RouteSpec = RouteSpec {
    name: "memo",
    kind: "stream",
    service: "huvo11a",
    timeout_ms: 15_000,
    attempts: 2,
    resume: true,
};
const PIECES: u64 = 40;
const GAP: Duration = Duration::from_millis(50);
/// Time for which a crashed replica is down: less than the 2 s of the site file.
const DOWN: Duration = Duration::from_millis(1_800);
/// One of six crashes: a share of 0.167.
const REPLICAS: u8 = 6;

/// The case: streams that may be resumed.
pub fn run(record: &Record, trouble: bool) -> Verdict {
    let work = Work::Stream {
        events: PIECES,
        gap: GAP,
    };
    play(record, trouble, (&ROUTE, work))
}

/// The same with answers that aren't streams, on a route whose requests may be repeated.
pub fn run_plain(record: &Record, trouble: bool) -> Verdict {
    let route = RouteSpec {
        kind: "safe",
        resume: false,
        ..ROUTE
    };
    let work = Work::Lines {
        lines: PIECES,
        gap: GAP,
    };
    play(record, trouble, (&route, work))
}

fn play(record: &Record, trouble: bool, (route, work): (&RouteSpec, Work)) -> Verdict {
    let mut fleet = Fleet::prepare(record, &["za", "zb", "zc"], &route.config());
    let mut replicas: Vec<ReplicaProcess> = Vec::new();
    for number in 0..REPLICAS {
        let zone = ["za", "zb", "zc"][usize::from(number % 3)];
        let mut spec = fleet.replica_spec(number, route.service, zone, work);
        spec.unframed = true;
        replicas.push(ReplicaProcess::start(
            spec,
            record,
            &fleet.runs,
            &fleet.store,
        ));
    }
    fleet.start_all();
    let traffic = Traffic::start(
        &fleet,
        route,
        6,
        (Duration::from_millis(50), Duration::from_millis(2_000)),
    );
    thread::sleep(Duration::from_secs(6));
    if trouble {
        let spec = replicas[0].replica.spec.clone();
        record.note(format!("replica {} crashes", spec.id));
        replicas[0].kill();
        thread::sleep(DOWN);
        replicas[0] = ReplicaProcess::start(spec, record, &fleet.runs, &fleet.store);
        record.note("the replica has started again");
    } else {
        thread::sleep(DOWN);
    }
    let sent = traffic.finish();
    let last = match work {
        Work::Stream { .. } => format!("data: piece {PIECES} of {PIECES}\n\n"),
        Work::Plain(_) | Work::Lines { .. } => format!("piece {PIECES} of {PIECES}\n"),
    };
    let complete = |s: &&Sent| s.outcome.status == 200 && s.outcome.whole;
    let ends = |s: &&Sent| s.outcome.body.ends_with(last.as_bytes());
    let served = sent.iter().filter(complete).filter(ends).count();
    let short: Vec<_> = sent.iter().filter(complete).filter(|s| !ends(s)).collect();
    for s in &short {
        let text = String::from_utf8_lossy(&s.outcome.body);
        let lines: Vec<_> = text.lines().filter(|l| l.contains("piece")).collect();
        record.note(format!(
            "{} ended as complete after '{}'",
            s.id,
            lines.last().unwrap_or(&"nothing")
        ));
    }
    record.note(format!(
        "{} requests sent, {served} answers whole, {} complete before their last piece",
        sent.len(),
        short.len()
    ));
    match (served, short.len()) {
        (0, _) => Verdict::NotRun("nothing was served".into()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
