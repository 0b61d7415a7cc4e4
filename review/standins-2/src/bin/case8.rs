//! Case 8: all processes are killed while two versions of a service serve side by side.

use {
    standins::{
        Network,
        node::{CLOUD_PORT, FIRST_REPLICA, Fleet, PLATFORM, REPLICA_PORT, STORE_PORT},
        record::Record,
        replica::{Replica, Stream},
        store::{Store, listen_cloud},
        streams::{self, Tries},
        trouble,
        vip::Vip,
    },
    std::{
        process::ExitCode,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const ZONES: [&str; 4] = ["z1", "z2", "z1", "z2"];
const STREAM: Stream = Stream {
    events: 60,
    pause: Duration::from_millis(200),
};
const CLIENTS: u64 = 112;
const WARM_UP: Duration = Duration::from_secs(20);
/// Time until the processes are started again.
const DOWN: Duration = Duration::from_millis(1_100);
/// A client takes its stream up when the machines have run again for over `contactMs`.
const PAUSE: Duration = Duration::from_millis(5_500);
const REST: Duration = Duration::from_secs(22);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-memo","host":"h.example","pathPrefix":"/memo/","kind":"stream","timeoutMs":15000,"latencySloMs":400,"priority":0,"service":"surveyor-llm","maxAttempts":2,"anonymous":true,"sessionAffinity":true,"streamResume":true,"gapTargetMs":200}],
"services":[{"name":"surveyor-llm","healthPath":"/health","maxConns":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kvCapacity":526654,"kvTokenBytes":35136,"linkMbps":370000.0,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn main() -> ExitCode {
    let record = Record::create();
    let net = Network::new();
    let store = Store::default();
    store.listen(net.at(PLATFORM, STORE_PORT));
    listen_cloud(net.at(PLATFORM, CLOUD_PORT));
    store.put("keyed.op", "config", CONFIG);
    let mut number = 0;
    for version in ["v1", "v2"] {
        for zone in ["z1", "z2"] {
            let addr = net.at(FIRST_REPLICA + number, REPLICA_PORT);
            let id = format!("i-{number}");
            let mut replica = Replica::new(&id, "surveyor-llm", zone, version, addr);
            replica.slots = 128;
            replica.serve_streams(&record, STREAM);
            replica.register(&store);
            number += 1;
        }
    }
    let mut fleet = Fleet::start(net, &ZONES, &record);
    fleet.wait_ready();
    let vip = Vip::start(fleet.nodes.iter().map(|n| n.front()).collect());
    thread::sleep(Duration::from_secs(3));
    let tries = Arc::new(Mutex::new(Tries::default()));
    let end = Instant::now() + WARM_UP + DOWN + REST;
    let fields = vec![
        ("X-Celerystage-Model", "m".to_owned()),
        ("X-Celerystage-Token-Counts", "800,180".to_owned()),
        (
            "X-Celerystage-Prompt-Prefix",
            "5c1e07a2:120,91bd3f06:80".to_owned(),
        ),
    ];
    for number in 0..CLIENTS {
        let shared = (vip.clone(), record.clone(), tries.clone());
        streams::start(number, PAUSE, shared, fields.clone(), end);
    }
    thread::sleep(WARM_UP);
    let from = record.at();
    if trouble() {
        for at in 0..ZONES.len() {
            fleet.kill(at);
            vip.set_runs(at, false);
        }
        thread::sleep(DOWN);
        for at in 0..ZONES.len() {
            fleet.start_node(at, false);
            vip.set_runs(at, true);
        }
    }
    thread::sleep(REST);
    let tries = tries.lock().unwrap();
    let shares = tries.shares(from, record.at());
    record.say(format!(
        "at machines in touch after that: {shares:?}; streams of two versions: {}",
        tries.mixed.len()
    ));
    if shares.breaks() {
        record.say("BROKEN LOST: streams that are taken up go on less than half as often as new ones begin");
        return ExitCode::from(1);
    }
    record.say("held");
    ExitCode::SUCCESS
}
