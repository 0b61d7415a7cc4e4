//! Endpoints that send bytes without end, until the router closes the connection.

mod common;

use {
    common::{FakeEndpoint, Router, Script, endpoint, response_head},
    relay::RouteKind,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::mpsc::{Receiver, channel},
        thread,
        time::{Duration, Instant},
    },
};

/// How long callers wait for a response.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time beyond it in which the caller has an answer and the endpoint's connection is closed.
const GRACE: Duration = Duration::from_millis(1_000);
/// Longest time that a readiness check takes meanwhile: a second miss takes a VM out of rotation.
const READY_TIME: Duration = Duration::from_millis(500);
/// Most bytes that the router may take: the largest body, 4 MB, in chunks of one byte, which have six
/// bytes each on the wire, and what sockets buffer.
const MAX_TAKEN: usize = (6 * 4 + 8) << 20;

/// What the endpoint saw of a connection: bytes that were taken, and the time until it was closed.
type Closed = (usize, Duration);

/// Sends `prefix` once and then `unit` without end on each connection.
fn endless(prefix: &str, unit: &str) -> (SocketAddr, Receiver<Closed>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let prefix = prefix.to_owned();
    let block = unit.repeat(16 * 1024 / unit.len() + 1);
    let (sender, closed) = channel();
    thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            let (prefix, block, sender) = (prefix.clone(), block.clone(), sender.clone());
            thread::spawn(move || {
                read_head(&mut socket);
                let begun = Instant::now();
                let mut taken = 0;
                let mut next = prefix;
                while socket.write_all(next.as_bytes()).is_ok() {
                    taken += next.len();
                    next = block.clone();
                }
                let _ = sender.send((taken, begun.elapsed()));
            });
        }
    });
    (addr, closed)
}

fn read_head(socket: &mut TcpStream) {
    let mut head = Vec::new();
    let mut bytes = [0; 4_096];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        let size = socket.read(&mut bytes).unwrap_or(0);
        if size == 0 {
            return;
        }
        head.extend_from_slice(&bytes[..size]);
    }
}

/// Sends a request with a body of `body` bytes; checks that its caller gets an answer in time, that
/// the endpoint's connection is closed, and that the router goes on working.
fn check(kind: RouteKind, (prefix, unit): (&str, &str), body: usize) {
    let (addr, closed) = endless(prefix, unit);
    let router = Router::with(kind, vec![endpoint("e1", addr)]);
    let case = format!("{kind:?}, {prefix:?} and {unit:?} without end");
    let timeout = CALLER_TIMEOUT.as_millis();
    let mut request = format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: {timeout}\r\nConnection: close\r\nContent-Length: {body}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body, b'x');
    let begun = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            while begun.elapsed() < CALLER_TIMEOUT {
                let asked = Instant::now();
                assert_eq!(router.readiness(), Some(200), "{case}");
                assert!(
                    asked.elapsed() < READY_TIME,
                    "{case}: {:?}",
                    asked.elapsed()
                );
                thread::sleep(Duration::from_millis(50));
            }
        });
        let response = router.exchange(&request);
        assert!(response.starts_with("HTTP/1.1 "), "{case}: no response");
        assert!(begun.elapsed() < CALLER_TIMEOUT + GRACE, "{case}");
    });
    let closed = closed.recv_timeout(CALLER_TIMEOUT + GRACE);
    let (taken, time) = closed.unwrap_or_else(|e| panic!("{case}: not closed, {e}"));
    assert!(taken <= MAX_TAKEN, "{case}: {taken} bytes taken");
    assert!(time < CALLER_TIMEOUT + GRACE, "{case}: {time:?}");
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nid: q1\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nid: q1\r\nConnection: close\r\n\r\n";
const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::Once, RouteKind::Resumable];

#[test]
fn heads_without_end_are_given_up() {
    for kind in KINDS {
        check(kind, ("", "x"), 0);
        check(kind, ("HTTP/1.1 200 OK\r\na: ", "x"), 0);
        check(kind, ("HTTP/1.1 200 OK\r\n", "a: b\r\n"), 0);
    }
}

/// Interim responses were skipped without end.
#[test]
fn interim_responses_without_end_are_given_up() {
    for kind in KINDS {
        check(kind, ("", "HTTP/1.1 100 Continue\r\n\r\n"), 0);
    }
}

/// Bytes were buffered without end as long as the request was not written.
#[test]
fn head_without_end_before_a_long_body_is_read_is_given_up() {
    check(
        RouteKind::Idempotent,
        ("HTTP/1.1 200 OK\r\na: ", "x"),
        3 << 20,
    );
}

#[test]
fn bodies_without_end_are_given_up() {
    for kind in KINDS {
        check(kind, (UNFRAMED, "x"), 0);
        check(kind, (CHUNKED, "1\r\nx\r\n"), 0);
        check(kind, (CHUNKED, "f"), 0);
        let head = CHUNKED.replace("200 OK", "500 Failed");
        check(kind, (&head, "1\r\nx\r\n"), 0);
    }
}

/// Trailer fields were read without end.
#[test]
fn trailers_without_end_are_given_up() {
    for kind in KINDS {
        let prefix = format!("{CHUNKED}10\r\nid: 1\ndata: a\n\n\n\r\n0\r\n");
        check(kind, (&prefix, "a: b\r\n"), 0);
    }
}

/// Events that the caller had were skipped without end.
#[test]
fn repeated_events_without_end_are_given_up() {
    let prefix = format!("{UNFRAMED}id: 1\ndata: a\n\n");
    check(RouteKind::Resumable, (&prefix, "id: 1\ndata: a\n\n"), 0);
}

/// Endpoints, and incomplete large responses of each. Their sum exceeds the memory of the VM under test.
const ENDPOINTS: usize = 6;
const LARGE_EACH: usize = 7;
const LARGE_BYTES: usize = 4 << 20;
const MEMORY_BYTES: usize = 100 << 20;

/// Incomplete large responses were all buffered, and took more memory than the VM has.
#[test]
fn large_responses_that_do_not_end_leave_memory_for_others() {
    let respond = || {
        FakeEndpoint::start(|_, seen| {
            let id = seen.field("id").unwrap_or_default();
            if id == "small" {
                let head = response_head(&id, "Content-Length: 2\r\n");
                return Script::Send(vec![format!("{head}ok").into_bytes()], Duration::ZERO);
            }
            let head = response_head(&id, &format!("Content-Length: {LARGE_BYTES}\r\n"));
            let mut bytes = head.into_bytes();
            bytes.resize(LARGE_BYTES / 2, b'x');
            Script::Send(vec![bytes], Duration::ZERO)
        })
    };
    let servers: Vec<_> = (0..ENDPOINTS).map(|_| respond()).collect();
    let listed = servers.iter().enumerate();
    let listed = listed.map(|(at, s)| endpoint(&format!("e{at}"), s.addr));
    let router = Router::with(RouteKind::Once, listed.collect());
    let request = |id: &str| {
        let text = format!(
            "GET /a HTTP/1.1\r\nHost: h\r\nid: {id}\r\ntimeout-ms: 3000\r\nConnection: close\r\n\r\n"
        );
        text.into_bytes()
    };
    let begun = Instant::now();
    thread::scope(|scope| {
        let sends: Vec<_> = (0..ENDPOINTS * LARGE_EACH)
            .map(|at| {
                let (router, request) = (&router, request(&format!("large{at}")));
                scope.spawn(move || {
                    let response = router.exchange(&request);
                    (response, begun.elapsed())
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        let response = router.exchange(&request("small"));
        assert!(response.ends_with("ok"), "{response}");
        let responses: Vec<_> = sends.into_iter().map(|s| s.join().unwrap()).collect();
        let waiting = responses.iter().filter(|(_, took)| took.as_secs() >= 1);
        let kept = waiting.count() * LARGE_BYTES;
        assert!(kept < MEMORY_BYTES, "{kept} bytes kept");
        let answered = |text: &str| text.starts_with("HTTP/1.1 50");
        assert!(responses.iter().all(|(text, _)| answered(text)));
    });
}
