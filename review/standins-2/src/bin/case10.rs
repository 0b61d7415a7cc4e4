//! Case 10: the replicas fail part of their requests, before a fleet of 32 machines.

use {
    standins::{
        Chance, Network,
        client::{Client, Request, new_id, sleep_until},
        node::{CLOUD_PORT, FIRST_REPLICA, Fleet, PLATFORM, REPLICA_PORT, STORE_PORT},
        record::Record,
        replica::Replica,
        store::{Store, listen_cloud},
        trouble,
        vip::Vip,
    },
    std::{
        collections::HashMap,
        process::ExitCode,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-check","host":"h.example","pathPrefix":"/check/","kind":"safe","timeoutMs":1500,"latencySloMs":300,"priority":2,"service":"permit-desk","maxAttempts":2,"anonymous":true}],
"services":[{"name":"permit-desk","healthPath":"/health","maxConns":620,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const MACHINES: usize = 32;
const WORK: Duration = Duration::from_millis(20);
/// Share of the requests that the replicas fail.
const FAILURES: f64 = 0.45;
const CLIENTS: u64 = 60;
/// Mean time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(600);
/// From the start of the traffic to that of the failures, their length, and the pause between two times of them.
const QUIET: Duration = Duration::from_secs(12);
const FAILING: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_secs(1);
const TIMES: u32 = 2;
const REST: Duration = Duration::from_secs(3);
/// The bounds of the deployment.
const RATIO: f64 = 0.2;
const WINDOW: f64 = 10.0;
const EXTRA: f64 = 56.0;

/// When clients sent requests, and when the replicas got them a second time or later.
#[derive(Debug, Default)]
struct Seen {
    sent: Vec<f64>,
    arrivals: HashMap<String, u32>,
    repeats: Vec<f64>,
}

fn main() -> ExitCode {
    let record = Record::create();
    let net = Network::new();
    let store = Store::default();
    store.listen(net.at(PLATFORM, STORE_PORT));
    listen_cloud(net.at(PLATFORM, CLOUD_PORT));
    store.put("keyed.op", "config", CONFIG);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let failing = Arc::new(AtomicBool::new(false));
    for number in 0..6_u8 {
        let addr = net.at(FIRST_REPLICA + number, REPLICA_PORT);
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let mut replica = Replica::new(&format!("i-{number}"), "permit-desk", zone, "v1", addr);
        replica.slots = 16;
        let (seen, failing, clock) = (seen.clone(), failing.clone(), record.clone());
        let chance = Mutex::new(Chance::new(u64::from(number) + 77));
        let work = move |_: &Replica, head: &standins::http::Head, _: &[u8]| {
            let id = head.get("x-celerystage-request-id").unwrap_or_default();
            {
                let mut seen = seen.lock().unwrap();
                let count = seen.arrivals.entry(id.to_owned()).or_default();
                *count += 1;
                if *count > 1 {
                    seen.repeats.push(clock.at());
                }
            }
            thread::sleep(WORK);
            let fails = failing.load(SeqCst) && chance.lock().unwrap().draw() < FAILURES;
            if fails {
                (500, "failed".to_owned())
            } else {
                (200, "valid".to_owned())
            }
        };
        replica.serve(&record, Arc::new(work));
        replica.register(&store);
    }
    let zones: Vec<_> = (0..MACHINES).map(|at| ZONES[at % ZONES.len()]).collect();
    let mut fleet = Fleet::start(net, &zones, &record);
    fleet.wait_ready();
    let vip = Vip::start(fleet.nodes.iter().map(|n| n.front()).collect());
    thread::sleep(Duration::from_secs(4));
    let end = Instant::now() + QUIET + (FAILING + PAUSE) * TIMES + REST;
    let clients = (0..CLIENTS).map(|number| {
        let (vip, record, seen) = (vip.clone(), record.clone(), seen.clone());
        thread::spawn(move || run_client(number, &vip, &record, &seen, end))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(QUIET);
    for _ in 0..TIMES {
        if trouble() {
            failing.store(true, SeqCst);
            record.say(format!(
                "replicas fail {FAILURES} of their requests for {FAILING:?}"
            ));
        }
        thread::sleep(FAILING);
        failing.store(false, SeqCst);
        thread::sleep(PAUSE);
    }
    for client in clients {
        client.join().unwrap();
    }
    judge(&record, &seen.lock().unwrap())
}

/// Requests are counted in the window of the repeats, the one before it or the one half a window before it, whichever
/// has most.
fn judge(record: &Record, seen: &Seen) -> ExitCode {
    let count = |times: &[f64], from: f64| {
        let inside = times.iter().filter(|t| **t >= from && **t < from + WINDOW);
        inside.count() as f64
    };
    let mut worst = (f64::MIN, String::new());
    for first in &seen.repeats {
        let repeats = count(&seen.repeats, *first);
        let starts = [*first, first - WINDOW / 2.0, first - WINDOW];
        let requests = starts
            .iter()
            .map(|s| count(&seen.sent, *s))
            .fold(0.0, f64::max);
        let allowed = RATIO * requests + EXTRA;
        if repeats - allowed > worst.0 {
            let text = format!(
                "from {first:.3} s on, in {WINDOW} s: {repeats} repeats, {requests} requests, {allowed:.1} repeats allowed"
            );
            worst = (repeats - allowed, text);
        }
    }
    let (sent, all) = (seen.sent.len(), seen.repeats.len());
    record.say(format!(
        "{sent} requests sent, {all} repeats; worst window: {}",
        worst.1
    ));
    if worst.0 > 0.0 {
        record.say("BROKEN BUDGET: more arrivals beyond the first of each request than allowed");
        return ExitCode::from(1);
    }
    record.say("held");
    ExitCode::SUCCESS
}

fn run_client(number: u64, vip: &Vip, record: &Record, seen: &Mutex<Seen>, end: Instant) {
    let mut chance = Chance::new(number + 1);
    let mut due = Instant::now() + INTERVAL.mul_f64(chance.draw());
    let (mut client, mut front) = (Client::default(), vip.choose(chance.draw()).1);
    while due < end {
        sleep_until(due);
        due += INTERVAL.mul_f64(0.5 + chance.draw());
        // A failed request is sent once more, as a new request on a new connection.
        for _ in 0..2 {
            let request = Request {
                method: "GET",
                path: format!("/check/{}", new_id()),
                id: new_id(),
                deadline: Duration::from_millis(3_000),
                ..Request::default()
            };
            record.line(format!("client {number} sends {}", request.id));
            seen.lock().unwrap().sent.push(record.at());
            let outcome = client.call(front, &request);
            record.line(format!(
                "client {number} got {} {}",
                request.id,
                outcome.describe()
            ));
            if outcome.status() == 200 {
                break;
            }
            client.close();
            front = vip.choose(chance.draw()).1;
        }
    }
}
