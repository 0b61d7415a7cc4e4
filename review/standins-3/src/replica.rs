//! A replica: registers itself in the store, and serves streams and plain requests.

use {
    crate::{
        platform::{OTHER_WRITER, Store},
        record::Record,
    },
    serde_json::json,
    std::{
        io::{ErrorKind, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Interval of the heartbeats (`beatIntervalMs`).
const BEAT: Duration = Duration::from_millis(1_200);
/// Time for which a draining replica serves after its report was accepted (`drainMs`), and a little longer.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Longest time that a draining replica goes on for requests that it still works on.
const LINGER: Duration = Duration::from_secs(16);
const POLL: Duration = Duration::from_millis(20);

/// What a replica does with requests.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Work {
    /// Answers with so many events, one each `gap`.
    Stream { events: u64, gap: Duration },
    /// Works for `time` and answers with a body of this size.
    Plain { time: Duration, size: usize },
}

/// What a replica is started with.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaSpec {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) zone: String,
    pub(crate) version: String,
    pub(crate) slots: u32,
    pub(crate) work: Work,
}

/// One run of a request at a replica.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: String,
    /// When it ended, and whether it ended well.
    pub(crate) ended: Option<(Instant, bool)>,
}

/// The runs at all replicas.
pub(crate) type Runs = Arc<Mutex<Vec<Run>>>;

struct Shared {
    spec: ReplicaSpec,
    addr: SocketAddr,
    born: u64,
    store: Store,
    record: Record,
    runs: Runs,
    sequence: AtomicU64,
    running: AtomicUsize,
    draining: AtomicBool,
    ended: AtomicBool,
}

/// A running replica.
#[derive(Clone)]
pub(crate) struct Replica(Arc<Shared>);

impl Replica {
    /// Starts a replica at an address with a free port, and registers it.
    pub(crate) fn start(
        spec: ReplicaSpec,
        ip: std::net::IpAddr,
        (store, record, runs): (&Store, &Record, &Runs),
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        listener.set_nonblocking(true).map_err(|e| e.to_string())?;
        let replica = Self(Arc::new(Shared {
            spec,
            addr,
            born: unix_ms(),
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
            sequence: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        }));
        let shared = &replica.0;
        record.line(format!(
            "replica {} ({} {}) starts at {addr}",
            shared.spec.id, shared.spec.service, shared.spec.version
        ));
        replica.write_entry();
        let (beats, accepts) = (replica.clone(), replica.clone());
        thread::spawn(move || beats.beat());
        thread::spawn(move || accepts.accept(&listener));
        Ok(replica)
    }

    fn id(&self) -> &str {
        &self.0.spec.id
    }

    pub(crate) fn version(&self) -> &str {
        &self.0.spec.version
    }

    pub(crate) fn zone(&self) -> &str {
        &self.0.spec.zone
    }

    /// Whether it takes new requests, as far as the store says.
    pub(crate) fn serves(&self) -> bool {
        !self.0.draining.load(SeqCst)
    }

    /// Reports `draining`, serves on for the drain time and as long as it has work, and ends.
    pub(crate) fn drain(&self) {
        let replica = self.clone();
        self.0.draining.store(true, SeqCst);
        self.write_entry();
        self.0
            .record
            .line(format!("replica {} reports draining", self.id()));
        thread::spawn(move || {
            let began = Instant::now();
            while began.elapsed() < DRAIN
                || replica.0.running.load(SeqCst) > 0 && began.elapsed() < LINGER
            {
                thread::sleep(POLL);
            }
            replica.0.ended.store(true, SeqCst);
            let store = &replica.0.store;
            store.write_keyed(OTHER_WRITER, "keyed.servers", replica.id(), b"");
            replica
                .0
                .record
                .line(format!("replica {} ends", replica.id()));
        });
    }

    fn write_entry(&self) {
        let shared = &self.0;
        let state = if self.serves() { "ready" } else { "draining" };
        let entry = json!({
            "service": shared.spec.service, "address": shared.addr.to_string(), "zone": shared.spec.zone,
            "version": shared.spec.version, "slots": shared.spec.slots, "state": state, "coldLeftMs": 0,
            "stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": shared.sequence.fetch_add(1, SeqCst) + 1, "born": shared.born,
        });
        let entry = entry.to_string();
        shared.store.write_keyed(
            OTHER_WRITER,
            "keyed.servers",
            &shared.spec.id,
            entry.as_bytes(),
        );
    }

    fn beat(&self) {
        loop {
            thread::sleep(BEAT);
            if self.0.ended.load(SeqCst) {
                return;
            }
            self.write_entry();
        }
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.0.ended.load(SeqCst) {
            match listener.accept() {
                Ok((socket, _)) => {
                    let replica = self.clone();
                    thread::spawn(move || replica.serve(socket));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(1))
                }
                Err(_) => return,
            }
        }
    }

    fn serve(&self, mut socket: TcpStream) {
        // Both only affect when bytes are sent or read.
        let _ = socket.set_nonblocking(false);
        let _ = socket.set_nodelay(true);
        let _ = socket.set_read_timeout(Some(Duration::from_millis(200)));
        let mut unread = Vec::new();
        while let Some(request) = self.read_request(&mut socket, &mut unread) {
            if self.answer(&mut socket, &request).is_err() {
                return;
            }
        }
    }

    fn read_request(&self, socket: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Request> {
        let mut buf = [0; 16_384];
        loop {
            if let Some(request) = Request::take(unread) {
                return Some(request);
            }
            match socket.read(&mut buf) {
                Ok(0) => return None,
                Ok(size) => unread.extend_from_slice(&buf[..size]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if self.0.ended.load(SeqCst) {
                        return None;
                    }
                }
                Err(_) => return None,
            }
        }
    }

    fn answer(&self, socket: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let shared = &self.0;
        if request.path == "/report" {
            let body = json!({"stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": false, "sequence": 0, "queued": 0, "running": shared.running.load(SeqCst),
                "kvUsed": 0, "kvTotal": 526_654, "handles": 0, "born": shared.born});
            return send(socket, 200, "", body.to_string().as_bytes());
        }
        if request.path == "/health" {
            let status = if self.serves() { 200 } else { 503 };
            let id = format!("X-Celerystage-Instance-Id: {}\r\n", self.id());
            return send(socket, status, &id, b"");
        }
        let attempt = request
            .field("X-Celerystage-Request-Id")
            .unwrap_or_default();
        let echo = format!("X-Celerystage-Request-Id: {attempt}\r\n");
        let expected = request.field("X-Celerystage-Expect-Instance");
        if expected.is_some_and(|e| e != self.id()) {
            let fields = format!("{echo}X-Celerystage-Not-Executed: 1\r\n");
            return send(socket, 421, &fields, b"");
        }
        let fields = format!(
            "{echo}X-Celerystage-Response-Stamp: 3e1b.07.{}\r\n",
            self.id()
        );
        let run = self.begin(&attempt);
        let result = match shared.spec.work {
            Work::Stream { events, gap } => self.stream(socket, request, &fields, (events, gap)),
            Work::Plain { time, size } => self.plain(socket, &fields, time, size),
        };
        self.end(run, result.is_ok());
        result
    }

    fn begin(&self, attempt: &str) -> usize {
        let shared = &self.0;
        shared.running.fetch_add(1, SeqCst);
        shared
            .record
            .line(format!("replica {} runs {attempt}", self.id()));
        let mut runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(Run {
            request: attempt.to_owned(),
            ended: None,
        });
        runs.len() - 1
    }

    fn end(&self, run: usize, well: bool) {
        let shared = &self.0;
        shared.running.fetch_sub(1, SeqCst);
        let mut runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[run].ended = Some((Instant::now(), well));
        let how = if well {
            "whole"
        } else {
            "its connection was closed"
        };
        shared.record.line(format!(
            "replica {} ends {}: {how}",
            self.id(),
            runs[run].request
        ));
    }

    fn stream(
        &self,
        socket: &mut TcpStream,
        request: &Request,
        fields: &str,
        (events, gap): (u64, Duration),
    ) -> std::io::Result<()> {
        let last = request.field("Last-Event-Id");
        let last: u64 = last.and_then(|l| l.parse().ok()).unwrap_or(0);
        thread::sleep(Duration::from_millis(80));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Celerystage-Weight-Versions: 1\r\n{fields}\r\n"
        );
        socket.write_all(head.as_bytes())?;
        for id in last + 1..=events {
            if id > last + 1 {
                wait_open(socket, gap)?;
            }
            let event = format!("id: {id}\ndata: {} {id}\n\n", self.version());
            socket.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        socket.write_all(b"0\r\n\r\n")
    }

    fn plain(
        &self,
        socket: &mut TcpStream,
        fields: &str,
        time: Duration,
        size: usize,
    ) -> std::io::Result<()> {
        wait_open(socket, time)?;
        let body = vec![b'x'; size];
        send(socket, 200, fields, &body)
    }
}

/// Waits, unless the caller closes the connection meanwhile.
fn wait_open(socket: &mut TcpStream, time: Duration) -> std::io::Result<()> {
    let due = Instant::now() + time;
    let mut byte = [0; 1];
    socket.set_nonblocking(true)?;
    let closed = loop {
        match socket.peek(&mut byte) {
            Ok(0) => break true,
            Err(e) if e.kind() != ErrorKind::WouldBlock => break true,
            Ok(_) | Err(_) => {}
        }
        let now = Instant::now();
        if now >= due {
            break false;
        }
        thread::sleep(POLL.min(due - now));
    };
    socket.set_nonblocking(false)?;
    if closed {
        return Err(ErrorKind::ConnectionAborted.into());
    }
    Ok(())
}

fn send(socket: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{fields}\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |t| t.as_millis() as u64)
}

/// A request with its body.
struct Request {
    path: String,
    fields: Vec<(String, String)>,
}

impl Request {
    /// Takes a whole request from the start of `bytes`.
    fn take(bytes: &mut Vec<u8>) -> Option<Self> {
        let mut fields = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Request::new(&mut fields);
        let Ok(httparse::Status::Complete(head)) = parsed.parse(bytes) else {
            return None;
        };
        let path = parsed.path.unwrap_or_default();
        let fields = parsed.headers.iter().map(|f| {
            let value = String::from_utf8_lossy(f.value).trim().to_owned();
            (f.name.to_owned(), value)
        });
        let request = Self {
            path: path.to_owned(),
            fields: fields.collect(),
        };
        let length = request.field("Content-Length");
        let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        if bytes.len() < head + length {
            return None;
        }
        bytes.drain(..head + length);
        Some(request)
    }

    fn field(&self, name: &str) -> Option<String> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    }
}
