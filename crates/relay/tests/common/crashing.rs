//! An engine that crashes while it begins to write a response to some requests, and comes back.

use {
    super::{
        endpoint::{FIRST_START, SeenRequest, read_request, start_answer},
        fakes::FakeFeed,
        router::{endpoint, free_addr, response_head},
    },
    relay::{Endpoint, FeedChange, FeedKind},
    std::{
        io::Write,
        net::{Shutdown, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time from a crash until the engine listens again.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Interval at which the engine looks for new connections.
const ACCEPT_POLL: Duration = Duration::from_millis(2);
/// Time to the first event of a response, and between events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// What a caller of a crashing engine sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashForm {
    /// A response that breaks off inside its first event.
    BrokenResponse,
    /// A closed connection.
    Closed,
    /// Nothing: connections stay open, new ones are refused.
    Silence,
}

/// What the engines of a test have seen.
#[derive(Default)]
pub(crate) struct CrashLog {
    /// When engines crashed.
    pub(crate) crashes: Mutex<Vec<Instant>>,
    /// When requests arrived that crash engines.
    pub(crate) arrivals: Mutex<Vec<Instant>>,
}

type IsDeadly = Arc<dyn Fn(&SeenRequest) -> bool + Send + Sync>;

/// One engine.
#[derive(Clone)]
pub(crate) struct CrashingEngine {
    pub(crate) listed: Endpoint,
    form: CrashForm,
    is_deadly: IsDeadly,
    log: Arc<CrashLog>,
    is_up: Arc<AtomicBool>,
    /// Start time of the running process.
    started: Arc<AtomicU64>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

impl CrashingEngine {
    pub(crate) fn start(
        id: &str,
        form: CrashForm,
        is_deadly: impl Fn(&SeenRequest) -> bool + Send + Sync + 'static,
        (log, feed): (&Arc<CrashLog>, &Arc<FakeFeed>),
    ) -> Self {
        let engine = Self {
            listed: endpoint(id, free_addr()),
            form,
            is_deadly: Arc::new(is_deadly),
            log: log.clone(),
            is_up: Arc::default(),
            started: Arc::new(AtomicU64::new(FIRST_START)),
            sockets: Arc::default(),
        };
        let (running, feed) = (engine.clone(), feed.clone());
        let listener = TcpListener::bind(engine.listed.addr).unwrap();
        engine.is_up.store(true, SeqCst);
        thread::spawn(move || running.run(listener, &feed));
        engine
    }

    fn run(&self, mut listener: TcpListener, feed: &FakeFeed) {
        for born in FIRST_START + 1.. {
            self.accept(&listener);
            drop(listener);
            thread::sleep(RESTART_TIME);
            listener = TcpListener::bind(self.listed.addr).unwrap();
            self.started.store(born, SeqCst);
            self.is_up.store(true, SeqCst);
            let listed = Endpoint {
                born,
                ..self.listed.clone()
            };
            feed.push(FeedKind::Endpoints, FeedChange::Listed(listed));
        }
    }

    /// Serves connections until a request crashes the engine.
    fn accept(&self, listener: &TcpListener) {
        listener.set_nonblocking(true).unwrap();
        while self.is_up.load(SeqCst) {
            let Ok((socket, _)) = listener.accept() else {
                thread::sleep(ACCEPT_POLL);
                continue;
            };
            socket.set_nonblocking(false).unwrap();
            self.sockets
                .lock()
                .unwrap()
                .push(socket.try_clone().unwrap());
            let engine = self.clone();
            thread::spawn(move || engine.serve(socket));
        }
        let sockets = std::mem::take(&mut *self.sockets.lock().unwrap());
        if self.form == CrashForm::Silence {
            // The peer's packets are lost: it learns nothing until the engine is back.
            thread::spawn(move || {
                thread::sleep(RESTART_TIME * 10);
                drop(sockets);
            });
            return;
        }
        for socket in sockets {
            // Fails for connections that their peers have closed.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut socket: TcpStream) {
        while let Some(request) = read_request(&mut socket) {
            if !self.is_up.load(SeqCst) {
                return;
            }
            if request.asks_start() {
                let answer = start_answer(self.started.load(SeqCst));
                if socket.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if (self.is_deadly)(&request) {
                self.log.arrivals.lock().unwrap().push(Instant::now());
                self.crash(&mut socket);
                return;
            }
            if self.respond(&mut socket, &request).is_none() {
                return;
            }
        }
    }

    fn crash(&self, socket: &mut TcpStream) {
        thread::sleep(EVENT_PAUSE);
        if self.form == CrashForm::BrokenResponse {
            let part = format!(
                "{}c\r\nid: 1\ndata: x",
                response_head("q1", "Transfer-Encoding: chunked\r\n")
            );
            // The caller may have left.
            let _ = socket.write_all(part.as_bytes());
        }
        if self.is_up.swap(false, SeqCst) {
            self.log.crashes.lock().unwrap().push(Instant::now());
        }
    }

    /// Sends three events, or the whole response of a plain service; `None` if the connection is
    /// lost.
    fn respond(&self, socket: &mut TcpStream, request: &SeenRequest) -> Option<()> {
        thread::sleep(EVENT_PAUSE);
        if !self.is_up.load(SeqCst) {
            return None;
        }
        if request.field("prompt").is_none() {
            let response = format!("{}ok", response_head("q1", "Content-Length: 2\r\n"));
            return socket.write_all(response.as_bytes()).ok();
        }
        let head = response_head("q1", "Transfer-Encoding: chunked\r\n");
        socket.write_all(head.as_bytes()).ok()?;
        for id in 1..=3 {
            let event = format!("id: {id}\ndata: e{id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            socket.write_all(chunk.as_bytes()).ok()?;
            thread::sleep(EVENT_PAUSE);
            if !self.is_up.load(SeqCst) {
                return None;
            }
        }
        socket.write_all(b"0\r\n\r\n").ok()
    }
}

impl CrashLog {
    /// When the crash with this number happened, counted from one.
    pub(crate) fn crash(&self, number: usize) -> Option<Instant> {
        let crashes = self.crashes.lock().unwrap();
        crashes.get(number - 1).copied()
    }

    /// Number of requests that crash engines which arrived later than `from`.
    pub(crate) fn arrivals_since(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at > from).count()
    }
}
