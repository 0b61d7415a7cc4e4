//! Callers read their answers slowly around a SIGHUP.

use {
    super::TempDir,
    crate::{
        config::{DESK, HOST, TENANTS, key, unsafe_route, write_config},
        fleet::{Block, FleetSpec, STORE_PORT, start_vms, wait_ready},
        platform::Store,
        record::Record,
        replica::{Replica, ReplicaSpec, Runs, Work},
    },
    rustix::process::Signal,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

const VM_ZONES: [&str; 4] = ["porto-a", "porto-a", "porto-b", "porto-b"];
const ZONES: [&str; 2] = ["porto-a", "porto-b"];
const REPLICAS: u8 = 3;
/// Size of an answer: about a quarter of what a request's body may have (`maxBodyBytes`), several times what the system's
/// buffers hold for a caller that doesn't read.
const BODY: usize = 1_000_000;
const WORK: Work = Work::Plain {
    time: Duration::from_millis(60),
    size: BODY,
};
const TIMEOUT_MS: u32 = 12_000;
const CALLERS: u64 = 4;
/// Bytes after which a slow caller pauses, and for how long.
const PAUSE_AFTER: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(4_500);

pub(super) fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let dir = TempDir::create()?;
    let block = Block::free()?;
    let store = Store::default();
    let runs = Runs::default();
    write_config(&store, 7, &[unsafe_route("r-u", "/u/", TIMEOUT_MS)]);
    let start = |number: u8| {
        let spec = ReplicaSpec {
            id: format!("i-{:08x}", fastrand::u32(..)),
            service: DESK,
            zone: ZONES[usize::from(number) % ZONES.len()].to_owned(),
            version: "v1".into(),
            slots: 6,
            work: WORK,
        };
        Replica::start(spec, block.ip(100 + number), (&store, record, &runs))
    };
    let replicas: Result<Vec<_>, _> = (0..REPLICAS).map(start).collect();
    let _replicas = replicas?;
    let spec = FleetSpec {
        block,
        zones: &VM_ZONES,
        dir: &dir.0,
        store_port: STORE_PORT,
    };
    let vms = start_vms(&spec, &store)?;
    wait_ready(&vms, Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(5));
    // Planned work: the settings file changes in a field that the pages don't explain.
    vms[0].signal(Signal::HUP)?;
    let signal = Instant::now();
    record.line("SIGHUP sent to VM 0");
    let front = vms[0].front();
    let calls: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || call(&record, front, number, trouble))
        })
        .collect();
    let mut lost = 0;
    for call in calls {
        let (id, got, ended) = call.join().map_err(|_| "a caller failed")??;
        let ran = runs.lock().map_err(|_| "a replica failed")?;
        let ran = ran
            .iter()
            .any(|r| r.request == id && r.ended.is_some_and(|(_, well)| well));
        let ms = ended.saturating_duration_since(signal).as_millis();
        record.say(format!(
            "request {id}: {got} of {BODY} bytes, ended {ms} ms after SIGHUP, replica done: {ran}"
        ));
        lost += u32::from(ran && got < BODY);
    }
    record.say(format!("{lost} of {CALLERS} answers lost"));
    Ok(lost == 0)
}

/// Sends a request and reads the answer; returns the id, the bytes of the body, and when it ended.
fn call(
    record: &Record,
    front: SocketAddr,
    number: u64,
    slowly: bool,
) -> Result<(String, usize, Instant), String> {
    let mut socket = TcpStream::connect(front).map_err(|e| e.to_string())?;
    let id = format!("{number:08x}{:08x}", fastrand::u32(..));
    let key = key(TENANTS[number as usize % TENANTS.len()]);
    let request = format!(
        "POST /u/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Celerystage-Request-Id: {id}\r\nX-Celerystage-Key: {key}\r\n\
         X-Celerystage-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 2\r\n\r\nhi"
    );
    socket
        .write_all(request.as_bytes())
        .map_err(|e| e.to_string())?;
    record.line(format!("request {id} sent"));
    let (mut all, mut buf, mut paused) = (Vec::new(), vec![0; 16 * 1024], !slowly);
    let body = |all: &[u8]| {
        let head = all.windows(4).position(|w| w == b"\r\n\r\n");
        head.map_or(0, |h| all.len() - h - 4)
    };
    while body(&all) < BODY {
        if all.len() >= PAUSE_AFTER && !std::mem::replace(&mut paused, true) {
            thread::sleep(PAUSE);
        }
        match socket.read(&mut buf) {
            Ok(size) if size > 0 => all.extend_from_slice(&buf[..size]),
            _ => break,
        }
    }
    let got = body(&all);
    record.line(format!("request {id} ends with {got} bytes of its body"));
    Ok((id, got, Instant::now()))
}
