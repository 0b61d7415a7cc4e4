//! Another writer registers an entry of a service that isn't in the configuration, at the address of a replica.

use {
    super::TempDir,
    crate::{
        client::{StreamAnswer, StreamRequest, stream},
        config::{LLM, TENANTS, key, stream_route, write_config},
        fleet::{Block, FleetSpec, STORE_PORT, Vm, start_vms, wait_ready},
        platform::{OTHER_WRITER, Store},
        record::Record,
        replica::{Replica, ReplicaSpec, Runs, Work, unix_ms},
    },
    rustix::process::Signal,
    serde_json::json,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

const VM_ZONES: [&str; 4] = ["ernakulam", "ernakulam", "calicut", "calicut"];
const ZONES: [&str; 2] = ["ernakulam", "calicut"];
const REPLICAS: u8 = 4;
/// Streams that last 4 s, of a route whose requests may run once.
const WORK: Work = Work::Stream {
    events: 40,
    gap: Duration::from_millis(100),
};
const DEADLINE: Duration = Duration::from_secs(15);
/// Streams that are sent in the half second after the signal.
const STREAMS: u64 = 24;
/// Time from the signal to the entry of the other writer.
const ENTRY_AFTER: Duration = Duration::from_millis(1_800);
/// Interval at which the other writer renews its entry.
const BEAT: Duration = Duration::from_millis(1_200);

/// One caller's stream.
struct Sent {
    id: String,
    answer: StreamAnswer,
    ended: Instant,
}

/// Callers on connections of their own, spread over the VMs.
fn send_streams(record: &Record, vms: &[Vm], first: u64) -> Vec<Sent> {
    let calls = (0..STREAMS).map(|number| {
        let front = vms[number as usize % vms.len()].front();
        let (record, number) = (record.clone(), first + number);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(20 * (number - first)));
            let id = format!("{number:08x}{:08x}", fastrand::u32(..));
            let key = key(TENANTS[number as usize % TENANTS.len()]);
            let deadline = Instant::now() + DEADLINE;
            record.line(format!("stream {id} sent to {front}"));
            let request = StreamRequest {
                path: "/q/2f",
                id: &id,
                key: &key,
                deadline,
                resumes: None,
                leaves: &|| false,
            };
            let answer = stream(front, &request);
            record.line(format!(
                "stream {id} ends: status {:?}, {} events, complete: {}",
                answer.status,
                answer.events.len(),
                answer.complete
            ));
            Sent {
                id,
                answer,
                ended: Instant::now(),
            }
        })
    });
    let calls: Vec<_> = calls.collect();
    calls.into_iter().filter_map(|c| c.join().ok()).collect()
}

pub(super) fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let dir = TempDir::create()?;
    let block = Block::free()?;
    let store = Store::default();
    let runs = Runs::default();
    write_config(&store, 7, &[stream_route("r-q", "/q/", false, 1)]);
    let start = |number: u8| {
        let spec = ReplicaSpec {
            id: format!("i-{:08x}", fastrand::u32(..)),
            service: LLM,
            zone: ZONES[usize::from(number) % ZONES.len()].to_owned(),
            version: "v1".into(),
            slots: 128,
            work: WORK,
        };
        Replica::start(spec, block.ip(100 + number), (&store, record, &runs))
    };
    let replicas: Result<Vec<_>, _> = (0..REPLICAS).map(start).collect();
    let replicas = replicas?;
    let spec = FleetSpec {
        block,
        zones: &VM_ZONES,
        dir: &dir.0,
        store_port: STORE_PORT,
    };
    let mut vms = start_vms(&spec, &store)?;
    wait_ready(&vms, Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(4));
    let before = send_streams(record, &vms, 0);
    let whole = before.iter().filter(|s| s.answer.complete).count();
    record.say(format!("before: {whole} of {} streams whole", before.len()));
    // Planned work: the settings file changes in a field that the pages don't explain.
    for vm in &vms {
        vm.signal(Signal::HUP)?;
    }
    let signal = Instant::now();
    record.line("SIGHUP sent to all VMs");
    let stop = Arc::new(AtomicBool::new(false));
    // The prompts share their first part, so that most streams run at one replica.
    let busiest = busiest(&replicas, &runs)?;
    let writer = trouble.then(|| write_entry(record, &store, busiest, (signal, stop.clone())));
    let during = send_streams(record, &vms, 1_000);
    stop.store(true, SeqCst);
    if let Some(writer) = writer {
        writer.join().map_err(|_| "the other writer failed")?;
    }
    if vms.iter_mut().any(Vm::has_ended) {
        record.say("a process ended by itself");
        return Ok(false);
    }
    let runs = runs.lock().map_err(|_| "a replica failed")?;
    let mut lost = 0;
    for sent in during.iter().filter(|s| !s.answer.complete) {
        let run = runs.iter().find(|r| r.request == sent.id);
        let Some(run) = run else {
            continue;
        };
        // The connection ended without a complete answer, though its replica had not broken off.
        lost += 1;
        let ms = |at: Instant| at.saturating_duration_since(signal).as_millis();
        record.say(format!(
            "lost: stream {} at replica {}, begun {} ms and cut {} ms after SIGHUP, {} events",
            sent.id,
            run.replica,
            ms(run.began),
            ms(sent.ended),
            sent.answer.events.len()
        ));
    }
    record.say(format!(
        "after SIGHUP: {lost} of {} streams lost",
        during.len()
    ));
    Ok(lost == 0)
}

/// The replica that has run most requests.
fn busiest<'a>(replicas: &'a [Replica], runs: &Runs) -> Result<&'a Replica, String> {
    let runs = runs.lock().map_err(|_| "a replica failed")?;
    let count = |r: &&Replica| runs.iter().filter(|run| run.replica == r.id()).count();
    replicas
        .iter()
        .max_by_key(count)
        .ok_or_else(|| "no replica".into())
}

/// Registers an entry of a service that isn't in the configuration, and renews it until `stop`.
fn write_entry(
    record: &Record,
    store: &Store,
    replica: &Replica,
    (signal, stop): (Instant, Arc<AtomicBool>),
) -> thread::JoinHandle<()> {
    let (record, store, replica) = (record.clone(), store.clone(), replica.clone());
    thread::spawn(move || {
        thread::sleep(ENTRY_AFTER.saturating_sub(signal.elapsed()));
        let (id, born) = (format!("m-{:08x}", fastrand::u32(..)), unix_ms());
        let mut sequence = 0;
        while !stop.load(SeqCst) {
            sequence += 1;
            let entry = json!({
                "service": "audit-probe", "address": replica.addr().to_string(), "zone": replica.zone(),
                "version": "v1", "slots": 1, "state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": born,
            });
            if sequence == 1 {
                record.line(format!(
                    "another writer registers {id} at the address of {}: {entry}",
                    replica.id()
                ));
            }
            let entry = entry.to_string();
            store.write_keyed(OTHER_WRITER, "keyed.servers", &id, entry.as_bytes());
            thread::sleep(BEAT);
        }
        store.write_keyed(OTHER_WRITER, "keyed.servers", &id, b"");
    })
}
