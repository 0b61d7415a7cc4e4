//! Case 7: another writer's entry lacks fields of an entry and names an HTTP server that is no replica.

use {
    standins::{
        Chance, Network,
        client::{Client, Outcome, Request, new_id, sleep_until},
        http::{response, serve},
        node::{CLOUD_PORT, FIRST_REPLICA, Fleet, PLATFORM, REPLICA_PORT, STORE_PORT},
        record::Record,
        replica::Replica,
        store::{Store, listen_cloud},
        trouble,
    },
    std::{
        process::ExitCode,
        sync::{Arc, Mutex, atomic::Ordering::SeqCst},
        thread,
        time::{Duration, Instant},
    },
};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-issue","host":"h.example","pathPrefix":"/issue/","kind":"unsafe","timeoutMs":1500,"latencySloMs":300,"priority":2,"service":"permit-desk","maxAttempts":1,"anonymous":true},
{"name":"r-check","host":"h.example","pathPrefix":"/check/","kind":"safe","timeoutMs":1500,"latencySloMs":300,"priority":2,"service":"permit-desk","maxAttempts":2,"anonymous":true}],
"services":[{"name":"permit-desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const WORK: Duration = Duration::from_millis(60);
const TRAFFIC: Duration = Duration::from_secs(30);
const CLIENTS: usize = 12;
const STRANGER: u8 = 150;
const INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    served: u64,
    denied: u64,
    by_status: std::collections::BTreeMap<u16, u64>,
}

fn main() -> ExitCode {
    let record = Record::create();
    let net = Network::new();
    let store = Store::default();
    store.listen(net.at(PLATFORM, STORE_PORT));
    listen_cloud(net.at(PLATFORM, CLOUD_PORT));
    store.put("keyed.op", "config", CONFIG);
    let mut replicas = Vec::new();
    for (at, zone) in ZONES.iter().enumerate() {
        let addr = net.at(FIRST_REPLICA + at as u8, REPLICA_PORT);
        let replica = Replica::new(&format!("i-{at}"), "permit-desk", zone, "v1", addr);
        replica.serve(
            &record,
            Arc::new(|_, _, _| {
                thread::sleep(WORK);
                (200, "done".to_owned())
            }),
        );
        replica.register(&store);
        replicas.push(replica);
    }
    let mut fleet = Fleet::start(net, &ZONES, &record);
    fleet.wait_ready();
    if trouble() {
        let addr = net.at(STRANGER, 8081);
        serve_stranger(addr, &record);
        // `sequence`, `coldLeftMs` and `born` are missing.
        let entry = format!(
            r#"{{"service":"permit-desk","address":"{addr}","zone":"z1","version":"v1","slots":6,"state":"ready"}}"#
        );
        record.say(format!("another writer: servers/app-01 = {entry}"));
        store.put("keyed.servers", "app-01", &entry);
    }
    thread::sleep(Duration::from_secs(3));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let began = Instant::now();
    let fronts: Vec<_> = fleet.nodes.iter().map(|n| n.front()).collect();
    let clients = (0..CLIENTS).map(|number| {
        let (record, counts, front) = (
            record.clone(),
            counts.clone(),
            fronts[number % fronts.len()],
        );
        thread::spawn(move || run_client(number, front, began, &record, &counts))
    });
    for client in clients.collect::<Vec<_>>() {
        client.join().unwrap();
    }
    let counts = counts.lock().unwrap();
    let runs: u64 = replicas.iter().map(|r| r.runs.load(SeqCst)).sum();
    record.say(format!(
        "{} requests sent, {} served, by status {:?}; replicas began to run {runs}",
        counts.sent, counts.served, counts.by_status
    ));
    let denied = counts.denied;
    let allowed = 5 + counts.sent / 500;
    record.say(format!(
        "{denied} ended with 404 without a replica's stamp, {allowed} allowed"
    ));
    if denied > allowed {
        record.say("BROKEN DENIED: proper requests on routes of all configurations got 404");
        return ExitCode::from(1);
    }
    record.say("held");
    ExitCode::SUCCESS
}

fn run_client(
    number: usize,
    front: std::net::SocketAddr,
    began: Instant,
    record: &Record,
    counts: &Mutex<Counts>,
) {
    let mut client = Client::default();
    let mut chance = Chance::new(number as u64);
    let mut due = began + INTERVAL.mul_f64(chance.draw());
    while due < began + TRAFFIC {
        sleep_until(due);
        due += INTERVAL.mul_f64(0.5 + chance.draw());
        let is_safe = number % 3 == 0;
        let request = Request {
            method: if is_safe { "GET" } else { "POST" },
            path: if is_safe {
                format!("/check/{}", new_id())
            } else {
                "/issue/2f".to_owned()
            },
            id: new_id(),
            body: if is_safe { Vec::new() } else { order() },
            deadline: Duration::from_millis(3_000),
            ..Request::default()
        };
        record.line(format!(
            "client {number} sends {} {} {}",
            request.id, request.method, request.path
        ));
        let outcome = client.call(front, &request);
        record.line(format!(
            "client {number} got {} {}",
            request.id,
            outcome.describe()
        ));
        let stamped = matches!(&outcome, Outcome::Answer(head, _) if head.get("x-celerystage-response-stamp").is_some());
        let mut counts = counts.lock().unwrap();
        counts.sent += 1;
        counts.served += u64::from(outcome.status() == 200 && stamped);
        counts.denied += u64::from(outcome.status() == 404 && !stamped);
        *counts.by_status.entry(outcome.status()).or_default() += 1;
    }
}

/// A body like no other.
fn order() -> Vec<u8> {
    format!("{:600}", new_id()).into_bytes()
}

/// An HTTP server that knows none of the paths and closes each connection.
fn serve_stranger(addr: std::net::SocketAddr, record: &Record) {
    let record = record.clone();
    serve(addr, move |conn, head, _| {
        let id = head.get("x-celerystage-request-id").unwrap_or("none");
        record.line(format!(
            "the other server got {} {} id {id}",
            head.first[0],
            head.target()
        ));
        let close = ("Connection", "close".to_owned());
        standins::http::write(conn, &response(404, &[close], b"not found"))?;
        Ok(false)
    });
}
