//! Entries and messages that can't be decoded: they are ignored, and the entries around them still count.

mod common;

use {
    common::{FakeEndpoint, Router, Script, endpoint, response_head},
    log::{Log, Metadata, Record},
    relay::{FeedChange, FeedKind, RouteKind},
    std::{
        io::{Read, Write},
        net::{TcpStream, UdpSocket},
        sync::{Mutex, Once},
        thread,
        time::Duration,
    },
};

const REQUEST: &str =
    "GET /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 3000\r\nConnection: close\r\n\r\n";
/// Time in which a change of the feed is applied.
const APPLY_TIME: Duration = Duration::from_millis(900);

/// Logger that keeps the lines about entries that are skipped.
struct SkipLines(Mutex<Vec<String>>);

static SKIP_LINES: SkipLines = SkipLines(Mutex::new(Vec::new()));
static INSTALL_ONCE: Once = Once::new();

impl Log for SkipLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let message = record.args().to_string();
        if message.starts_with("entry skipped") {
            let fields = format!("{:?}", record.key_values().get("cause".into()));
            self.0.lock().unwrap().push(fields);
        }
    }

    fn flush(&self) {}
}

fn serving() -> FakeEndpoint {
    FakeEndpoint::start(|_, _| {
        let response = format!("{}ok", response_head("q1", "Content-Length: 2\r\n"));
        Script::Send(vec![response.into()], Duration::ZERO)
    })
}

fn odd(key: &str, cause: &str) -> FeedChange {
    FeedChange::Undecodable(key.into(), cause.into())
}

/// Requests still went to the endpoint that an entry had named before it became unreadable.
#[test]
fn endpoint_whose_entry_becomes_odd_gets_no_requests() {
    let (first, second) = (serving(), serving());
    let listed = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Idempotent, listed.clone());
    router
        .feed
        .push(FeedKind::Endpoints, odd("e1", "unknown state odd"));
    thread::sleep(APPLY_TIME);
    let before = first.count();
    for _ in 0..20 {
        let response = router.exchange(REQUEST.as_bytes());
        assert!(response.ends_with("ok"), "{response}");
    }
    assert_eq!(first.count(), before);
    // The endpoint's next heartbeat lists it again.
    let change = FeedChange::Listed(listed[0].clone());
    router.feed.push(FeedKind::Endpoints, change);
    router.wait_for(|| {
        router.exchange(REQUEST.as_bytes());
        first.count() > before
    });
}

/// Each heartbeat of an odd entry logged a line of any length.
#[test]
fn odd_entries_are_logged_once_and_shortened() {
    INSTALL_ONCE.call_once(|| {
        log::set_logger(&SKIP_LINES).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
    let server = serving();
    let router = Router::with(RouteKind::Idempotent, vec![endpoint("e1", server.addr)]);
    let cause = "ä".repeat(1 << 19);
    for round in 0..4 {
        for entry in 0..200 {
            let key = format!("logged-{entry}");
            router.feed.push(FeedKind::Endpoints, odd(&key, &cause));
        }
        thread::sleep(APPLY_TIME / 3);
        assert!(!SKIP_LINES.0.lock().unwrap().is_empty(), "{round}");
    }
    let lines = SKIP_LINES.0.lock().unwrap();
    assert!(lines.len() <= 100, "{} lines", lines.len());
    assert!(lines.iter().all(|l| l.len() < 1_000));
}

/// Bodies and datagrams of other VMs that are nested without end.
#[test]
fn deeply_nested_messages_end_no_process() {
    let server = serving();
    let router = Router::with(RouteKind::Idempotent, vec![endpoint("e1", server.addr)]);
    // Arrays, maps whose key or value is nested, and extension types, of one item each.
    let units: [&[u8]; 4] = [&[0x91], &[0x81, 0xa1, b'a'], &[0x81], &[0xc7, 1, 0]];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for unit in units {
        for path in ["/news", "/carry", "/carriers"] {
            let body = unit.repeat(300_000);
            let mut call = TcpStream::connect(router.control).unwrap();
            let length = body.len();
            let head = format!(
                "POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
            );
            call.write_all(head.as_bytes()).unwrap();
            call.write_all(&body).unwrap();
            let mut answer = String::new();
            // The connection may be closed without an answer.
            let _ = call.read_to_string(&mut answer);
            assert!(!answer.starts_with("HTTP/1.1 2"), "{path}: {answer}");
        }
        // The first byte tells the kinds of datagrams apart.
        for kind in 0..=u8::MAX {
            let body = unit.repeat(1_500 / unit.len());
            socket.send_to(&body, router.peers).unwrap();
            let tagged = [&[kind][..], &body].concat();
            socket.send_to(&tagged, router.peers).unwrap();
            thread::sleep(Duration::from_micros(200));
        }
    }
    let response = router.exchange(REQUEST.as_bytes());
    assert!(response.ends_with("ok"), "{response}");
}
