//! Case 9: a route's weights change, and a node is killed: streams that began at one service are taken up at the other.

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

const ZONES: [&str; 8] = ["z1", "z2", "z1", "z2", "z1", "z2", "z1", "z2"];
const STREAM: Stream = Stream {
    events: 66,
    pause: Duration::from_millis(200),
};
const CLIENTS: u64 = 400;
const WARM_UP: Duration = Duration::from_secs(20);
/// From the new configuration to the kill: over `configApplyMs`.
const APPLY: Duration = Duration::from_millis(2_500);
/// A client takes its stream up so much later.
const PAUSE: Duration = Duration::from_millis(500);
const REST: Duration = Duration::from_secs(22);

fn config(version: u32, first: u32, second: u32) -> String {
    let service = |name| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConns":620,"protocol":"h1","tls":false,"engine":{{"slots":128,"kvCapacity":526654,"kvTokenBytes":35136,"linkMbps":370000.0,"stride":3,"models":[{{"name":"m"}}]}}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-memo","host":"h.example","pathPrefix":"/memo/","kind":"stream","timeoutMs":15000,"latencySloMs":400,"priority":0,"trafficSplit":[{{"service":"surveyor-a","weight":{first}}},{{"service":"surveyor-b","weight":{second}}}],"maxAttempts":2,"anonymous":true,"sessionAffinity":true,"streamResume":true,"gapTargetMs":200}}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        service("surveyor-a"),
        service("surveyor-b")
    )
}

fn main() -> ExitCode {
    let record = Record::create();
    let net = Network::new();
    let store = Store::default();
    store.listen(net.at(PLATFORM, STORE_PORT));
    listen_cloud(net.at(PLATFORM, CLOUD_PORT));
    store.put("keyed.op", "config", &config(7, 95, 5));
    let mut number = 0;
    for service in ["surveyor-a", "surveyor-b"] {
        for version in ["v1", "v2"] {
            for zone in ["z1", "z2"] {
                let addr = net.at(FIRST_REPLICA + number, REPLICA_PORT);
                let mut replica =
                    Replica::new(&format!("i-{number}"), service, zone, version, addr);
                replica.slots = 128;
                replica.serve_streams(&record, STREAM);
                replica.register(&store);
                number += 1;
            }
        }
    }
    let mut fleet = Fleet::start(net, &ZONES, &record);
    fleet.wait_ready();
    let vip = Vip::start(fleet.nodes.iter().map(|n| n.front()).collect());
    thread::sleep(Duration::from_secs(3));
    let tries = Arc::new(Mutex::new(Tries::default()));
    let end = Instant::now() + WARM_UP + APPLY + REST;
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
    // For information: each disruption without the other.
    let only = std::env::var("ONLY").unwrap_or_default();
    if trouble() && only != "kill" {
        store.put("keyed.op", "config", &config(8, 5, 95));
        record.say("configuration 8 acknowledged: weights 5 and 95 instead of 95 and 5");
    }
    thread::sleep(APPLY);
    let from = record.at();
    if trouble() && only != "config" {
        fleet.kill(0);
        vip.set_runs(0, false);
        thread::sleep(Duration::from_secs(1));
        fleet.start_node(0, false);
        vip.set_runs(0, true);
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
