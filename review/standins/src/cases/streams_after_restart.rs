//! All VMs are killed at once; callers take their streams up again.

use {
    crate::{
        Verdict,
        client::{Ask, Client, Outcome},
        fleet::{Fleet, HOST, KEY},
        record::Record,
        replica::{Work, unix_ms},
        traffic::RouteSpec,
    },
    std::{
        net::{Shutdown, SocketAddr, TcpStream},
        sync::{Arc, Mutex},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const ROUTE: RouteSpec = RouteSpec {
    name: "memo",
    kind: "stream",
    service: "huvo11a",
    timeout_ms: 15_000,
    attempts: 2,
    resume: true,
};
const EVENTS: u64 = 240;
const WORK: Work = Work::Stream {
    events: EVENTS,
    gap: Duration::from_millis(50),
};
const STREAMS: usize = 24;
/// How long a caller waits for its stream in all.
const PATIENCE: Duration = Duration::from_millis(ROUTE.timeout_ms);
/// From the start of the VMs until callers come back: more than `contactMs`.
const RETURN: Duration = Duration::from_millis(4_000);

type Sockets = Arc<Mutex<Vec<TcpStream>>>;

/// Sends a stream's request; `None` without a connection.
fn send(front: SocketAddr, ask: &Ask, sockets: &Sockets, record: &Record) -> Option<Outcome> {
    let mut client = Client::connect(front).ok()?;
    if let Ok(socket) = client.socket() {
        sockets.lock().unwrap().push(socket);
    }
    record.note(format!("client sends {} {:?}", ask.id, ask.fields));
    let outcome = client.send(ask, HOST, KEY);
    record.note(format!(
        "client has for {}: status {}, last event {:?}, {}",
        ask.id,
        outcome.status,
        last_event(&outcome),
        if outcome.whole { "complete" } else { "cut" }
    ));
    Some(outcome)
}

/// Id of the last whole event.
fn last_event(outcome: &Outcome) -> Option<u64> {
    let text = String::from_utf8_lossy(&outcome.body);
    let whole = &text[..text.rfind("\n\n")?];
    let mut ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.next_back()?.parse().ok()
}

/// A request of a caller that waits for `left` more.
fn ask(number: usize, left: Duration, fields: Vec<(&'static str, String)>) -> Ask {
    Ask {
        path: format!("/{}/2f", ROUTE.name),
        id: format!("{:08x}{number:04x}{:04x}", unix_ms() as u32, fields.len()),
        deadline_ms: left.as_millis() as u64,
        fields,
        body: b"six posters, matt".to_vec(),
    }
}

/// Sends `asks`, in turn to each VM.
fn send_all(
    fleet: &Fleet,
    asks: Vec<Ask>,
    sockets: &Sockets,
) -> Vec<JoinHandle<(Ask, Option<Outcome>)>> {
    let fronts: Vec<_> = fleet.vms.iter().map(|vm| vm.front()).collect();
    let asks = asks.into_iter().enumerate();
    asks.map(|(number, ask)| {
        let (front, sockets, record) = (
            fronts[number % fronts.len()],
            sockets.clone(),
            fleet.record.clone(),
        );
        thread::spawn(move || {
            let outcome = send(front, &ask, &sockets, &record);
            (ask, outcome)
        })
    })
    .collect()
}

fn finish(sent: Vec<JoinHandle<(Ask, Option<Outcome>)>>) -> Vec<(Ask, Option<Outcome>)> {
    sent.into_iter().filter_map(|s| s.join().ok()).collect()
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut fleet = Fleet::prepare(record, &["za", "zb", "zc"], &ROUTE.config());
    for (number, zone) in [
        (0, "za"),
        (1, "zb"),
        (2, "zc"),
        (3, "za"),
        (4, "zb"),
        (5, "zc"),
    ] {
        fleet.start_replica(fleet.replica_spec(number, ROUTE.service, zone, WORK));
    }
    fleet.start_all();
    thread::sleep(Duration::from_secs(4));
    let sockets = Sockets::default();
    let firsts = (0..STREAMS)
        .map(|number| ask(number, PATIENCE, Vec::new()))
        .collect();
    let began = Instant::now();
    let firsts = send_all(&fleet, firsts, &sockets);
    thread::sleep(Duration::from_secs(2));
    if trouble {
        for vm in 0..fleet.vms.len() {
            fleet.kill(vm);
        }
        thread::sleep(Duration::from_millis(1_000));
        for vm in 0..fleet.vms.len() {
            fleet.start_vm(vm, false);
        }
    } else {
        record.note("the callers' connections break");
        for socket in sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
    thread::sleep(RETURN);
    let mut again = Vec::new();
    for (number, (first, outcome)) in finish(firsts).into_iter().enumerate() {
        let Some(last) = outcome.as_ref().and_then(last_event) else {
            continue;
        };
        let fields = vec![("Last-Event-Id", last.to_string()), ("Resumes", first.id)];
        again.push(ask(
            number,
            PATIENCE.saturating_sub(began.elapsed()),
            fields,
        ));
    }
    let taken = again.len();
    let again = send_all(&fleet, again, &sockets);
    let fresh = (0..STREAMS)
        .map(|number| ask(100 + number, PATIENCE, Vec::new()))
        .collect();
    let fresh = send_all(&fleet, fresh, &sockets);
    thread::sleep(Duration::from_secs(2));
    // Enough was seen.
    for socket in sockets.lock().unwrap().drain(..) {
        let _ = socket.shutdown(Shutdown::Both);
    }
    let begins = |sent: Vec<JoinHandle<(Ask, Option<Outcome>)>>| {
        let outcomes = finish(sent).into_iter().filter_map(|(_, outcome)| outcome);
        outcomes
            .filter(|o| o.status == 200 && last_event(o).is_some())
            .count()
    };
    let (went_on, began) = (begins(again), begins(fresh));
    record.note(format!(
        "{taken} streams sent again to VMs in touch, {went_on} went on; of {STREAMS} new ones {began} began"
    ));
    if taken < 12 || began == 0 {
        return Verdict::NotRun("too few streams".into());
    }
    let (share, new) = (went_on as f64 / taken as f64, began as f64 / STREAMS as f64);
    if share < new / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
