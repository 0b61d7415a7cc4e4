//! In-flight calls whose permission expires or whose process ends.

use {
    async_io::block_on,
    clock::{Clock, Instant, Sleep, SystemClock, TestClock},
    h1::{CallLimits, Headers, Pool, RequestHead, call},
    rustix::net::sockopt,
    std::{
        env,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        process::{Child, Command},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
    types::Bytes,
};

/// Receive buffer of a peer that doesn't read, in bytes.
const RECEIVE_BUFFER: usize = 4 * 1024;
/// Size of a body that fits into the sender's buffer, but not into the peer's.
const BUFFERED_BODY: usize = 48 * 1024;
/// Size of a body that fits into no buffer, so that it isn't written at once.
const LARGE_BODY: usize = 16 * 1024 * 1024;
/// Time for a sender to write what its buffer takes.
const WRITE_TIME: Duration = Duration::from_millis(200);
/// Read timeout of a peer.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after a suspension in which a late call isn't held against its sender.
const WAKE_TIME: Duration = Duration::from_millis(300);
/// Address that the process to kill sends to.
const ADDR_VAR: &str = "H1_TEST_KILLED_SENDER_ADDR";

/// A peer with a small receive buffer.
fn small_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER).unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Posts a body with a permission that lasts for `permitted`; whether it was answered.
fn post(clock: &dyn Clock, addr: SocketAddr, size: usize, permitted: Duration) -> bool {
    let head = RequestHead {
        method: "POST".into(),
        target: "/usage".into(),
        minor_version: 1,
        headers: Headers::default(),
    };
    let limits = CallLimits {
        timeout: 10 * permitted,
        max_body: Bytes(1024),
        send_by: Some(clock.now() + permitted),
    };
    let body = vec![b'x'; size];
    let pool = Pool::default();
    block_on(call(clock, &pool, addr, (head, &body), limits)).is_ok()
}

/// Accepts a connection and waits for its first bytes without reading them.
fn accept_unread(listener: &TcpListener) -> TcpStream {
    let (conn, _) = listener.accept().unwrap();
    conn.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    assert_eq!(conn.peek(&mut [0; 1]).unwrap(), 1);
    thread::sleep(WRITE_TIME);
    conn
}

/// Reads a request with a body of `size` bytes, and answers it if it is complete; whether it was.
fn receives_all(mut conn: TcpStream, size: usize) -> bool {
    let mut buf = vec![0; 64 * 1024];
    let mut body = 0;
    while body < size {
        match conn.read(&mut buf) {
            Ok(n) if n > 0 => body += buf[..n].iter().filter(|b| **b == b'x').count(),
            _ => return false,
        }
    }
    conn.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    true
}

/// A request that was written in part was finished after the permission to send it had run out.
#[test]
fn partial_write_is_not_finished_once_the_permission_has_run_out() {
    let (listener, addr) = small_listener();
    let clock = TestClock::default();
    let permitted = Duration::from_secs(1);
    let sender = {
        let clock = clock.clone();
        thread::spawn(move || post(&clock, addr, LARGE_BODY, permitted))
    };
    let conn = accept_unread(&listener);
    clock.advance(permitted);
    assert!(!receives_all(conn, LARGE_BODY));
    assert!(!sender.join().unwrap());
}

/// The same sender and peer within the permission.
#[test]
fn partial_write_is_finished_while_the_permission_lasts() {
    let (listener, addr) = small_listener();
    let clock = TestClock::default();
    let permitted = Duration::from_secs(1);
    let sender = {
        let clock = clock.clone();
        thread::spawn(move || post(&clock, addr, LARGE_BODY, permitted))
    };
    let conn = accept_unread(&listener);
    clock.advance(permitted / 2);
    assert!(receives_all(conn, LARGE_BODY));
    assert!(sender.join().unwrap());
}

/// Runs only in the process that the next test starts.
#[test]
fn killed_sender() {
    let Ok(addr) = env::var(ADDR_VAR) else {
        return;
    };
    let addr = addr.parse().unwrap();
    post(&SystemClock, addr, BUFFERED_BODY, Duration::from_secs(5));
}

fn start_sender(addr: SocketAddr) -> Child {
    Command::new(env::current_exe().unwrap())
        .args(["--exact", "killed_sender"])
        .env(ADDR_VAR, addr.to_string())
        .spawn()
        .unwrap()
}

/// The system went on sending the request of a process that had been killed, and it arrived
/// whenever the peer read on.
#[test]
fn request_of_a_killed_process_does_not_arrive() {
    let (listener, addr) = small_listener();
    let mut sender = start_sender(addr);
    let conn = accept_unread(&listener);
    sender.kill().unwrap();
    sender.wait().unwrap();
    assert!(!receives_all(conn, BUFFERED_BODY));
}

/// A clock that counts the time in which the machine was suspended; its timers don't.
#[derive(Clone, Default)]
struct SuspendedClock {
    suspended_ms: Arc<AtomicU64>,
}

impl SuspendedClock {
    fn suspend(&self, span: Duration) {
        self.suspended_ms.fetch_add(span.as_millis() as u64, SeqCst);
    }
}

impl Clock for SuspendedClock {
    fn now(&self) -> Instant {
        SystemClock.now() + Duration::from_millis(self.suspended_ms.load(SeqCst))
    }

    fn unix_time(&self) -> Duration {
        SystemClock.unix_time()
    }

    fn sleep(&self, span: Duration) -> Sleep {
        SystemClock.sleep(span)
    }
}

/// After its machine was suspended, a request stayed in the send buffer for the rest of its timeout, as timers
/// don't count that time.
#[test]
fn request_ends_soon_after_its_machine_was_suspended_beyond_its_timeout() {
    let (listener, addr) = small_listener();
    let clock = SuspendedClock::default();
    let permitted = Duration::from_secs(1);
    let sender = {
        let clock = clock.clone();
        thread::spawn(move || post(&clock, addr, BUFFERED_BODY, permitted))
    };
    let conn = accept_unread(&listener);
    clock.suspend(20 * permitted);
    thread::sleep(WAKE_TIME);
    assert!(!receives_all(conn, BUFFERED_BODY));
    assert!(!sender.join().unwrap());
}
