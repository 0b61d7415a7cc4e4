//! Responses with neither a length nor chunks, whose endpoint dies or lives when their connection closes.

mod common;

use {
    common::{
        FakeEndpoint, Router, RouterSpec, Script, config_change, endpoint, response_head, route,
    },
    relay::{Route, RouteKind},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

/// The same in each test: a response that ends by its connection.
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const REQUEST: &[u8] =
    b"GET /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 3000\r\nConnection: close\r\n\r\n";

/// In which order a process that ends closes its sockets.
#[derive(Debug, Clone, Copy)]
enum Order {
    ListenerFirst,
    ConnectionFirst,
}

const ORDERS: [Order; 2] = [Order::ListenerFirst, Order::ConnectionFirst];

/// Sends the beginning of a response to the first request, and ends like a killed process. Requests for its start
/// time are answered.
fn dying(order: Order, body: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let seen: Arc<AtomicUsize> = Arc::default();
    let count = seen.clone();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        loop {
            let mut buf = [0; 4096];
            let size = socket.read(&mut buf).unwrap();
            if !buf[..size].starts_with(b"GET /start ") {
                break;
            }
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
            socket.write_all(answer).unwrap();
        }
        count.fetch_add(1, SeqCst);
        let response = format!("{}{body}", response_head("q1", ""));
        socket.write_all(response.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(20));
        match order {
            Order::ListenerFirst => drop((listener, socket)),
            Order::ConnectionFirst => drop((socket, listener)),
        }
    });
    (addr, seen)
}

fn living(body: &'static str) -> FakeEndpoint {
    FakeEndpoint::start(move |_, seen| {
        let after = match seen.field("last-event").as_deref() {
            Some("2") => "id: 3\ndata: three\n\n",
            _ => body,
        };
        Script::SendAndClose(format!("{}{after}", response_head("q1", "")).into_bytes())
    })
}

fn start(kind: RouteKind, addrs: &[SocketAddr]) -> Router {
    let listed = addrs.iter().enumerate();
    let listed = listed.map(|(at, addr)| endpoint(&format!("e{at}"), *addr));
    let mut spec = RouterSpec::new(kind, listed.collect());
    let route = Route {
        attempts: 3,
        ..route(kind)
    };
    spec.config = Some(config_change(1, route));
    let router = Router::start(spec);
    router.wait_ready();
    router
}

/// A plain response whose endpoint was killed in the middle of it looked complete.
#[test]
fn plain_response_of_a_killed_endpoint_is_a_failure() {
    for kind in [RouteKind::Once, RouteKind::Idempotent] {
        for order in ORDERS {
            let (addr, seen) = dying(order, "half");
            let response = start(kind, &[addr]).exchange(REQUEST);
            assert_eq!(seen.load(SeqCst), 1, "{kind:?}, {order:?}");
            assert!(
                response.starts_with("HTTP/1.1 50"),
                "{kind:?}, {order:?}: {response}"
            );
            assert!(
                !response.contains("half"),
                "{kind:?}, {order:?}: {response}"
            );
        }
    }
}

#[test]
fn idempotent_request_is_retried_after_its_endpoint_was_killed() {
    for order in ORDERS {
        let (addr, seen) = dying(order, "half");
        let other = living("whole");
        let router = start(RouteKind::Idempotent, &[addr, other.addr]);
        for _ in 0..10 {
            let response = router.exchange(REQUEST);
            assert!(
                response.starts_with("HTTP/1.1 200"),
                "{order:?}: {response}"
            );
            assert!(response.ends_with("\r\n\r\nwhole"), "{order:?}: {response}");
        }
        assert_eq!(seen.load(SeqCst), 1, "{order:?}");
    }
}

/// A stream whose endpoint was killed between two events ended as complete.
#[test]
fn stream_of_a_killed_endpoint_is_not_complete() {
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        for order in ORDERS {
            let (addr, seen) = dying(order, EVENTS);
            let response = start(kind, &[addr]).exchange(REQUEST);
            assert_eq!(seen.load(SeqCst), 1, "{kind:?}, {order:?}");
            assert!(
                response.contains("data: two"),
                "{kind:?}, {order:?}: {response}"
            );
            assert!(
                !response.ends_with("0\r\n\r\n"),
                "{kind:?}, {order:?}: {response}"
            );
        }
    }
}

#[test]
fn resumable_stream_of_a_killed_endpoint_goes_on_elsewhere() {
    for order in ORDERS {
        let (addr, seen) = dying(order, EVENTS);
        let other = living("id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n");
        let router = start(RouteKind::Resumable, &[addr, other.addr]);
        for _ in 0..10 {
            let response = router.exchange(REQUEST);
            assert_eq!(
                response.matches("data: two").count(),
                1,
                "{order:?}: {response}"
            );
            assert!(response.contains("data: three"), "{order:?}: {response}");
            assert!(response.ends_with("0\r\n\r\n"), "{order:?}: {response}");
        }
        assert_eq!(seen.load(SeqCst), 1, "{order:?}");
    }
}

/// The check must not take responses from callers whose endpoint lives; its connection serves the next request.
#[test]
fn responses_of_a_living_endpoint_are_complete() {
    for kind in [RouteKind::Once, RouteKind::Idempotent, RouteKind::Stream] {
        let server = living(EVENTS);
        let router = start(kind, &[server.addr]);
        for _ in 0..20 {
            let response = router.exchange(REQUEST);
            assert!(response.starts_with("HTTP/1.1 200"), "{kind:?}: {response}");
            assert!(response.contains("data: two"), "{kind:?}: {response}");
            assert!(
                !kind.is_stream() || response.ends_with("0\r\n\r\n"),
                "{kind:?}: {response}"
            );
        }
        assert_eq!(server.count(), 20);
        assert!(*server.connections.lock().unwrap() <= 21, "{kind:?}");
    }
}

/// A process that is at the limit of its connections accepts and resets them, and lives.
#[test]
fn response_of_an_endpoint_that_resets_new_connections_is_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        let _ = socket.read(&mut buf).unwrap();
        let response = format!("{}whole", response_head("q1", ""));
        socket.write_all(response.as_bytes()).unwrap();
        drop(socket);
        for other in listener.incoming().flatten() {
            let _ = rustix::net::sockopt::set_socket_linger(&other, Some(Duration::ZERO));
        }
    });
    let response = start(RouteKind::Once, &[addr]).exchange(REQUEST);
    assert!(response.ends_with("\r\n\r\nwhole"), "{response}");
}
