//! A scripted endpoint.

use {
    super::fakes::START_TARGET,
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, Weak,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

/// Start time of an endpoint, as `endpoint()` lists it.
pub(super) const FIRST_START: u64 = 1;

/// How an endpoint responds to a request.
#[derive(Clone)]
pub(crate) enum Script {
    /// Sends these pieces with a pause after each, then keeps the connection.
    Send(Vec<Vec<u8>>, Duration),
    /// Sends these bytes, then closes the connection.
    SendAndClose(Vec<u8>),
    /// Sends these bytes, then resets the connection.
    SendAndReset(Vec<u8>),
    /// Sends these bytes after a pause, then keeps the connection.
    Pause(Duration, Vec<u8>),
    /// Sends nothing until the peer closes.
    Hang,
}

/// A request as the endpoint received it.
#[derive(Debug, Clone)]
pub(crate) struct SeenRequest {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl SeenRequest {
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().skip(1).filter_map(|l| l.split_once(": "));
        let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.trim().to_owned())
    }

    /// Whether the request asks for the start time.
    pub(super) fn asks_start(&self) -> bool {
        self.head.starts_with(&format!("GET {START_TARGET} "))
    }
}

/// Answer of an endpoint that is asked for its start time.
pub(super) fn start_answer(started: u64) -> String {
    let body = started.to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What an endpoint says of its start.
pub(crate) struct StartTime {
    pub(crate) started: AtomicU64,
    /// Whether it leaves the question unanswered.
    pub(crate) silent: AtomicBool,
    /// Number of answers after which it closes the connection.
    pub(crate) closing: AtomicUsize,
    /// How often it was asked.
    pub(crate) asked: AtomicUsize,
}

type Responder = Arc<dyn Fn(usize, &SeenRequest) -> Script + Send + Sync>;

/// Listens on loopback and responds to each request as the test's function says.
pub(crate) struct FakeEndpoint {
    pub(crate) addr: SocketAddr,
    pub(crate) seen: Arc<Mutex<Vec<SeenRequest>>>,
    pub(crate) closed: Arc<Mutex<usize>>,
    pub(crate) connections: Arc<Mutex<usize>>,
    sockets: Arc<Mutex<Vec<Weak<TcpStream>>>>,
    /// Requests for the start time are no seen requests.
    pub(crate) start: Arc<StartTime>,
}

impl FakeEndpoint {
    pub(crate) fn start(
        respond: impl Fn(usize, &SeenRequest) -> Script + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = Self {
            addr: listener.local_addr().unwrap(),
            seen: Arc::default(),
            closed: Arc::default(),
            connections: Arc::default(),
            sockets: Arc::default(),
            start: Arc::new(StartTime {
                started: AtomicU64::new(FIRST_START),
                silent: AtomicBool::new(false),
                closing: AtomicUsize::new(0),
                asked: AtomicUsize::new(0),
            }),
        };
        let (seen, closed) = (endpoint.seen.clone(), endpoint.closed.clone());
        let (connections, sockets) = (endpoint.connections.clone(), endpoint.sockets.clone());
        let start = endpoint.start.clone();
        let respond: Responder = Arc::new(respond);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                *connections.lock().unwrap() += 1;
                let socket = Arc::new(socket);
                sockets.lock().unwrap().push(Arc::downgrade(&socket));
                let (seen, respond, closed) = (seen.clone(), respond.clone(), closed.clone());
                let start = start.clone();
                thread::spawn(move || {
                    serve(&socket, &seen, &respond, &start);
                    drop(socket);
                    *closed.lock().unwrap() += 1;
                });
            }
        });
        endpoint
    }

    /// Closes all connections, as a restart does.
    pub(crate) fn close_connections(&self) {
        for socket in self
            .sockets
            .lock()
            .unwrap()
            .drain(..)
            .filter_map(|s| s.upgrade())
        {
            // Fails for connections that their peers have closed.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    pub(crate) fn request(&self, at: usize) -> SeenRequest {
        self.seen.lock().unwrap()[at].clone()
    }
}

fn serve(
    mut socket: &TcpStream,
    seen: &Mutex<Vec<SeenRequest>>,
    respond: &Responder,
    start: &StartTime,
) {
    while let Some(request) = read_request(&mut socket) {
        if request.asks_start() {
            let asked = start.asked.fetch_add(1, SeqCst);
            if start.silent.load(SeqCst) {
                continue;
            }
            let closes = asked < start.closing.load(SeqCst);
            let mut answer = start_answer(start.started.load(SeqCst));
            if closes {
                answer = answer.replacen("\r\n", "\r\nConnection: close\r\n", 1);
            }
            if socket.write_all(answer.as_bytes()).is_err() || closes {
                return;
            }
            continue;
        }
        let number = {
            let mut seen = seen.lock().unwrap();
            seen.push(request.clone());
            seen.len() - 1
        };
        match respond(number, &request) {
            Script::Send(pieces, pause) => {
                for piece in pieces {
                    if socket.write_all(&piece).is_err() {
                        return;
                    }
                    thread::sleep(pause);
                }
            }
            Script::SendAndClose(bytes) => {
                let _ = socket.write_all(&bytes);
                return;
            }
            Script::SendAndReset(bytes) => {
                let _ = socket.write_all(&bytes);
                thread::sleep(Duration::from_millis(50));
                let _ = rustix::net::sockopt::set_socket_linger(socket, Some(Duration::ZERO));
                return;
            }
            Script::Pause(pause, bytes) => {
                thread::sleep(pause);
                if socket.write_all(&bytes).is_err() {
                    return;
                }
            }
            Script::Hang => {
                let mut byte = [0];
                let _ = socket.read(&mut byte);
                return;
            }
        }
    }
}

pub(super) fn read_request(socket: &mut impl Read) -> Option<SeenRequest> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match socket.read(&mut buf) {
            Ok(size) if size > 0 => bytes.extend_from_slice(&buf[..size]),
            _ => return None,
        }
    };
    let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
    let mut body = bytes[end..].to_vec();
    let seen = SeenRequest {
        head,
        body: Vec::new(),
    };
    let length = seen
        .field("content-length")
        .map_or(0, |v| v.parse().unwrap());
    while body.len() < length {
        match socket.read(&mut buf) {
            Ok(size) if size > 0 => body.extend_from_slice(&buf[..size]),
            _ => return None,
        }
    }
    Some(SeenRequest { body, ..seen })
}
