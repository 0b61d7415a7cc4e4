//! Case 6: machines are upgraded one after the other from the landed commit 839a701, and the store comes back from an
//! older copy meanwhile.

use {
    standins::{
        Network,
        client::{Client, Request, new_id},
        node::{CLOUD_PORT, FIRST_REPLICA, Fleet, PLATFORM, PROGRAM, REPLICA_PORT, STORE_PORT},
        record::Record,
        replica::Replica,
        store::{DutyCall, Store, listen_cloud},
        trouble,
    },
    std::{
        collections::HashMap,
        process::ExitCode,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Program of the version that runs at first, built by review/build-2.sh.
const EARLIER: &str = "target/review-2/old/release/celery-node";
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-check","host":"h.example","pathPrefix":"/check/","kind":"safe","timeoutMs":1500,"latencySloMs":300,"priority":2,"service":"permit-desk","maxAttempts":2,"anonymous":false}],
"services":[{"name":"permit-desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"]},{"name":"puhu251","apiKeys":["wsjnbanfqasnmgkcuyj8"]}]}"#;
const KEYS: [&str; 2] = ["xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"];
const ZONES: [&str; 4] = ["z1", "z2", "z1", "z2"];
/// Age of the copy that the store comes back from, and time for which it is away.
const COPY_AGE: Duration = Duration::from_secs(3);
const AWAY: Duration = Duration::from_millis(500);
/// `contactMs`: calls until so long after the store's return don't count.
const CONTACT: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(108);

fn main() -> ExitCode {
    let record = Record::create();
    let net = Network::new();
    let store = Store::default();
    store.send_era(0);
    store.listen(net.at(PLATFORM, STORE_PORT));
    let calls = listen_cloud(net.at(PLATFORM, CLOUD_PORT));
    store.put("keyed.op", "config", CONFIG);
    for (at, zone) in ["z1", "z2"].iter().enumerate() {
        let addr = net.at(FIRST_REPLICA + at as u8, REPLICA_PORT);
        let replica = Replica::new(&format!("i-{at}"), "permit-desk", zone, "v1", addr);
        replica.serve(&record, Arc::new(|_, _, _| (200, "valid".to_owned())));
        replica.register(&store);
    }
    let end = Instant::now() + LENGTH;
    let mut fleet = Fleet::start_with(EARLIER, net, &ZONES, &record);
    fleet.wait_ready();
    for (number, node) in fleet.nodes.iter().enumerate() {
        let front = node.front();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(150));
                let request = Request {
                    method: "GET",
                    path: "/check/2f".to_owned(),
                    id: new_id(),
                    fields: vec![("X-Celerystage-Key", KEYS[number % 2].to_owned())],
                    deadline: Duration::from_millis(3_000),
                    ..Request::default()
                };
                Client::default().call(front, &request);
            }
        });
    }
    thread::sleep(Duration::from_secs(8));
    // The first half of the upgrade: one zone.
    for at in [0, 2] {
        replace(&mut fleet, at, PROGRAM, &record);
    }
    let mut returned = None;
    if trouble() {
        record.say("the store is away, and comes back from a copy 3 s old");
        store.drill(COPY_AGE, AWAY);
        returned = Some(Instant::now());
        record.say("the store is back, Store-Era is 1");
    }
    // Meanwhile the machine that holds the duties is restarted with what it runs.
    while Instant::now() + Duration::from_secs(20) < end {
        let since = Instant::now();
        let holder = loop {
            thread::sleep(Duration::from_millis(100));
            let calls = calls.lock().unwrap();
            if let Some(call) = calls
                .iter()
                .find(|c| c.at > since + Duration::from_millis(500))
            {
                break Some(call.holder.clone());
            }
            drop(calls);
            if Instant::now() >= end {
                break None;
            }
        };
        if breaks(&calls, returned, None) {
            break;
        }
        let at = fleet
            .nodes
            .iter()
            .position(|n| Some(&n.name) == holder.as_ref());
        let Some(at) = at else { break };
        let program = fleet.nodes[at].program.clone();
        replace(&mut fleet, at, &program, &record);
    }
    let all = calls.lock().unwrap().clone();
    for call in &all {
        let program = fleet.nodes.iter().find(|n| n.name == call.holder);
        let kind = program.map_or("?", |n| {
            if n.program == EARLIER {
                "earlier"
            } else {
                "this"
            }
        });
        let at = record.at() - call.at.elapsed().as_secs_f64();
        record.line(format!(
            "call at {at:.3}: {} by {} ({kind}), token {}, {}",
            call.path, call.holder, call.token, call.body
        ));
    }
    record.say(format!("{} calls of the duty holders", all.len()));
    if breaks(&calls, returned, Some(&record)) {
        record.say("BROKEN ONE: the platform got a call with a lower token than it had seen");
        return ExitCode::from(1);
    }
    if all.is_empty() {
        record.say("cannot run: no duty was performed");
        return ExitCode::from(2);
    }
    record.say("held");
    ExitCode::SUCCESS
}

/// Stops a machine and starts it with a program.
fn replace(fleet: &mut Fleet, at: usize, program: &str, record: &Record) {
    fleet.stop(at);
    fleet.nodes[at].program = program.to_owned();
    fleet.start_node(at, false);
    let version = if program == EARLIER {
        "839a701"
    } else {
        "this version"
    };
    record.say(format!("{} runs {version}", fleet.nodes[at].name));
    thread::sleep(Duration::from_secs(2));
}

/// Whether a call has a lower token than an earlier one of the same duty and subject.
fn breaks(
    calls: &Mutex<Vec<DutyCall>>,
    returned: Option<Instant>,
    record: Option<&Record>,
) -> bool {
    let mut highest: HashMap<String, u64> = HashMap::new();
    let mut found = false;
    for call in calls.lock().unwrap().iter() {
        let excused =
            returned.is_some_and(|at| call.at < at + CONTACT && call.at + AWAY + CONTACT > at);
        let seen = highest.entry(call.path.clone()).or_default();
        if call.token < *seen && !excused {
            found = true;
            if let Some(record) = record {
                record.say(format!(
                    "{} by {}: token {} after {seen}",
                    call.path, call.holder, call.token
                ));
            }
        }
        *seen = (*seen).max(call.token);
    }
    found
}
