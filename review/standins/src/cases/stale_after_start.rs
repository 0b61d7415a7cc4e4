//! A VM is added while the store rejects the VM that reads it for their zone.

use {
    crate::{
        Verdict,
        client::{Ask, Client},
        fleet::{CONFIG_APPLY, CONTACT, Fleet, HOST, OTHER_KEY},
        record::Record,
        replica::{Work, unix_ms},
        traffic::RouteSpec,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

const ROUTE: RouteSpec = RouteSpec {
    name: "issue",
    kind: "unsafe",
    service: "wuno96b",
    timeout_ms: 3_000,
    attempts: 1,
    resume: false,
};
const WORK: Work = Work::Plain(Duration::from_millis(20));
const CLIENTS: usize = 4;
/// The VM that is added, which is no seed, and the one with the last name of the zone, which reads
/// the store for the others.
const ADDED: usize = 3;
const READER: usize = 0;

/// Sends requests with the key that is taken away; returns when they were sent, and their ids.
fn send_all(
    front: SocketAddr,
    number: usize,
    stop: &AtomicBool,
    record: &Record,
) -> Vec<(f64, String)> {
    let mut sent = Vec::new();
    let mut open: Option<Client> = None;
    while !stop.load(SeqCst) {
        thread::sleep(Duration::from_millis(20));
        let Some(mut client) = open.take().or_else(|| Client::connect(front).ok()) else {
            continue;
        };
        let id = format!("{:08x}{number:02x}{:04x}", unix_ms() as u32, sent.len());
        let ask = Ask {
            path: format!("/{}/2f", ROUTE.name),
            id: id.clone(),
            deadline_ms: ROUTE.timeout_ms,
            fields: Vec::new(),
            body: b"six posters, matt".to_vec(),
        };
        let at = record.now();
        let outcome = client.send(&ask, HOST, OTHER_KEY);
        record.note(format!(
            "client {number} sent {id} at {at:.4}: status {}",
            outcome.status
        ));
        sent.push((at, id));
        if outcome.whole && outcome.head.field("connection").is_none() {
            open = Some(client);
        }
    }
    sent
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut fleet = Fleet::prepare(record, &["za", "za", "za", "za"], &ROUTE.config());
    for number in 0..3 {
        fleet.start_replica(fleet.replica_spec(number, ROUTE.service, "za", WORK));
    }
    fleet.start_first(ADDED);
    thread::sleep(Duration::from_secs(4));
    if trouble {
        fleet.store.set_rejected(READER, true);
        record.note(format!("the store rejects the calls of vm {READER}"));
    }
    thread::sleep(Duration::from_millis(500));
    fleet
        .store
        .put("keyed.op", "config", &ROUTE.config_version(8, &[]));
    let acknowledged = record.now();
    record.note("version 8 takes a key away, acknowledged");
    thread::sleep(Duration::from_millis(1_000));
    fleet.start_vm(ADDED, false);
    let started = record.now();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record) = (stop.clone(), record.clone());
            let front = fleet.vms[ADDED].front();
            thread::spawn(move || send_all(front, number, &stop, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(5_000));
    stop.store(true, SeqCst);
    fleet.store.set_rejected(READER, false);
    let sent: Vec<_> = clients
        .into_iter()
        .flat_map(|c| c.join().unwrap_or_default())
        .collect();
    let runs = fleet.runs.lock().unwrap().clone();
    let ran = |id: &str| runs.iter().any(|r| r.request == *id);
    let due = (acknowledged + CONFIG_APPLY.as_secs_f64()).max(started + CONTACT.as_secs_f64());
    let late: Vec<_> = sent
        .iter()
        .filter(|(at, id)| *at > due && ran(id))
        .collect();
    if let (Some((first, _)), Some((last, _))) = (late.first(), late.last()) {
        record.note(format!(
            "with the key that was taken away, requests of {:.3} to {:.3} s after the acknowledgement were run",
            first - acknowledged,
            last - acknowledged
        ));
    }
    record.note(format!(
        "{} requests sent, {} run that a VM in touch got later than 2 s after the acknowledgement",
        sent.len(),
        late.len()
    ));
    match (sent.len(), late.len()) {
        (0, _) => Verdict::NotRun("nothing was sent".into()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
