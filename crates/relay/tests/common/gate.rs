//! The path from one availability zone to an endpoint, which a test can cut.

use {
    super::router::free_addr,
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

/// Interval at which a gate looks at its state.
const POLL: Duration = Duration::from_millis(2);
/// Connections that fill the queue of a listener which accepts none.
const FILLERS: usize = 4;
/// Time for each of them.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);
const BACKLOG: i32 = 128;
/// Beginning of a caller's request, which a router sends in one piece.
const CALLER_REQUEST: &[u8] = b"GET /a ";

/// What a gate does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GateState {
    Open,
    /// New connections get no answer, bytes on the others are held back.
    Hangs,
    /// New connections are refused, the others go on.
    Refuses,
    /// New connections are refused, the others are closed.
    Resets,
}

/// Forwards connections to an endpoint while it is open.
pub(crate) struct Gate {
    pub(crate) addr: SocketAddr,
    state: Arc<Mutex<GateState>>,
    /// The state that has taken effect.
    applied: Arc<Mutex<GateState>>,
    /// Requests of callers that it has forwarded.
    requests: Arc<AtomicUsize>,
}

impl Gate {
    pub(crate) fn start(endpoint: SocketAddr) -> Self {
        let addr = free_addr();
        let gate = Self {
            addr,
            state: Arc::new(Mutex::new(GateState::Open)),
            applied: Arc::new(Mutex::new(GateState::Open)),
            requests: Arc::default(),
        };
        let (state, requests) = (gate.state.clone(), gate.requests.clone());
        let applied = gate.applied.clone();
        let listener = TcpListener::bind(addr).unwrap();
        thread::spawn(move || run(listener, endpoint, (&state, &applied), &requests));
        gate
    }

    /// Number of callers' requests that it has forwarded.
    pub(crate) fn forwarded(&self) -> usize {
        self.requests.load(SeqCst)
    }

    /// Changes the state and waits until that has taken effect.
    pub(crate) fn set(&self, state: GateState) {
        *self.state.lock().unwrap() = state;
        while *self.applied.lock().unwrap() != state {
            thread::sleep(POLL);
        }
    }
}

fn run(
    listener: TcpListener,
    endpoint: SocketAddr,
    (state, applied): (&Arc<Mutex<GateState>>, &Mutex<GateState>),
    requests: &Arc<AtomicUsize>,
) {
    let addr = listener.local_addr().unwrap();
    let mut listener = Some(listener);
    let mut fillers = Vec::new();
    let mut sockets: Vec<TcpStream> = Vec::new();
    loop {
        thread::sleep(POLL);
        let current = *state.lock().unwrap();
        match current {
            GateState::Open => {
                fillers.clear();
                let listener = listener.get_or_insert_with(|| TcpListener::bind(addr).unwrap());
                rustix::net::listen(&*listener, BACKLOG).unwrap();
                listener.set_nonblocking(true).unwrap();
                while let Ok((socket, _)) = listener.accept() {
                    socket.set_nonblocking(false).unwrap();
                    sockets.push(socket.try_clone().unwrap());
                    forward(socket, endpoint, state, requests);
                }
            }
            GateState::Hangs => {
                let listener = listener.get_or_insert_with(|| TcpListener::bind(addr).unwrap());
                rustix::net::listen(&*listener, 0).unwrap();
                if fillers.is_empty() {
                    let connect = |_| TcpStream::connect_timeout(&addr, FILL_TIMEOUT).ok();
                    fillers = (0..FILLERS).filter_map(connect).collect();
                }
            }
            GateState::Refuses | GateState::Resets => {
                listener = None;
                if current == GateState::Resets {
                    let all = sockets.drain(..);
                    // Fails for connections that have ended.
                    all.for_each(|s| s.shutdown(Shutdown::Both).unwrap_or_default());
                }
            }
        }
        *applied.lock().unwrap() = current;
    }
}

fn forward(
    caller: TcpStream,
    endpoint: SocketAddr,
    state: &Arc<Mutex<GateState>>,
    requests: &Arc<AtomicUsize>,
) {
    let Ok(target) = TcpStream::connect(endpoint) else {
        return;
    };
    let ends = [
        (caller.try_clone().unwrap(), target.try_clone().unwrap()),
        (target, caller),
    ];
    for (from, to) in ends {
        let (state, requests) = (state.clone(), requests.clone());
        thread::spawn(move || copy(from, to, &state, &requests));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, state: &Mutex<GateState>, requests: &AtomicUsize) {
    let mut buf = [0; 8192];
    loop {
        let size = from.read(&mut buf).unwrap_or_default();
        while *state.lock().unwrap() == GateState::Hangs {
            thread::sleep(POLL);
        }
        if buf[..size].starts_with(CALLER_REQUEST) {
            requests.fetch_add(1, SeqCst);
        }
        if size == 0 || to.write_all(&buf[..size]).is_err() {
            break;
        }
    }
    for socket in [from, to] {
        // Fails for connections that have ended.
        socket.shutdown(Shutdown::Both).unwrap_or_default();
    }
}
