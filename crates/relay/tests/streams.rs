//! Streams: the caller gets every event once and in order, or a visible break.

mod common;

use {
    common::{FakeEndpoint, Router, Script, endpoint, response_head},
    relay::RouteKind,
    std::{
        io::{Read, Write},
        time::Duration,
    },
};

const REQUEST: &str = "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 6000\r\nprompt: 100\r\n\
     Connection: close\r\nContent-Length: 0\r\n\r\n";

fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn head() -> Vec<u8> {
    response_head("q1", "Transfer-Encoding: chunked\r\n").into_bytes()
}

/// A complete response with the events `from` to `to`.
fn events(from: u64, to: u64) -> Vec<Vec<u8>> {
    let mut pieces = vec![head()];
    pieces.extend((from..=to).map(|id| chunk(&event(id))));
    pieces.push(b"0\r\n\r\n".to_vec());
    pieces
}

fn ids(response: &str) -> Vec<u64> {
    let lines = response.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

/// An endpoint that breaks a new stream in the middle of an event and completes a resumed one.
fn breaks_once() -> FakeEndpoint {
    FakeEndpoint::start(|_, seen| match seen.field("last-event") {
        None => {
            let mut bytes = head();
            bytes.extend(chunk(&event(1)));
            bytes.extend(chunk(&event(2)));
            bytes.extend(chunk("id: 3\nda"));
            Script::SendAndReset(bytes)
        }
        Some(last) => {
            let last: u64 = last.parse().unwrap();
            Script::Send(events(last + 1, 5), Duration::ZERO)
        }
    })
}

#[test]
fn events_are_forwarded_completely_and_in_order() {
    let server = FakeEndpoint::start(|_, _| Script::Send(events(1, 4), Duration::from_millis(20)));
    let router = Router::with(RouteKind::Stream, vec![endpoint("e1", server.addr)]);
    let response = router.exchange(REQUEST.as_bytes());
    assert_eq!(ids(&response), [1, 2, 3, 4]);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

#[test]
fn resumable_stream_continues_within_one_response() {
    let (first, second) = (breaks_once(), breaks_once());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    let response = router.exchange(REQUEST.as_bytes());
    assert_eq!(ids(&response), [1, 2, 3, 4, 5]);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1);
    assert_eq!(first.count() + second.count(), 2);
}

#[test]
fn stream_that_cannot_be_resumed_breaks_visibly() {
    let (first, second) = (breaks_once(), breaks_once());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Stream, endpoints);
    let response = router.exchange(REQUEST.as_bytes());
    assert_eq!(ids(&response), [1, 2]);
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(first.count() + second.count(), 1);
}

#[test]
fn resumed_stream_with_a_missing_event_breaks() {
    let skipping = || {
        FakeEndpoint::start(|_, seen| match seen.field("last-event") {
            None => {
                let mut bytes = head();
                bytes.extend(chunk(&event(1)));
                Script::SendAndReset(bytes)
            }
            Some(_) => Script::Send(events(3, 5), Duration::ZERO),
        })
    };
    let (first, second) = (skipping(), skipping());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    let response = router.exchange(REQUEST.as_bytes());
    assert_eq!(ids(&response), [1]);
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}

#[test]
fn resuming_caller_gets_only_the_events_it_lacks() {
    let server = breaks_once();
    let router = Router::with(RouteKind::Resumable, vec![endpoint("e1", server.addr)]);
    let text = REQUEST.replace("id: q1\r\n", "id: q1\r\nlast-event: 3\r\n");
    let response = router.exchange(text.as_bytes());
    assert_eq!(ids(&response), [4, 5]);
}

#[test]
fn caller_that_leaves_ends_the_stream_at_the_endpoint() {
    let server =
        FakeEndpoint::start(|_, _| Script::Send(events(1, 400), Duration::from_millis(20)));
    let router = Router::with(RouteKind::Stream, vec![endpoint("e1", server.addr)]);
    let mut socket = router.connect();
    socket.write_all(REQUEST.as_bytes()).unwrap();
    let mut buf = [0; 64];
    assert!(socket.read(&mut buf).unwrap() > 0);
    drop(socket);
    router.wait_for(|| *server.closed.lock().unwrap() == 1);
}

#[test]
fn stream_whose_events_stop_is_resumed_elsewhere() {
    let stalling = || {
        FakeEndpoint::start(|_, seen| match seen.field("last-event") {
            None => {
                let mut bytes = head();
                bytes.extend(chunk(&event(1)));
                Script::Send(vec![bytes], Duration::from_secs(10))
            }
            Some(_) => Script::Send(events(2, 3), Duration::ZERO),
        })
    };
    let (first, second) = (stalling(), stalling());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    let response = router.exchange(REQUEST.as_bytes());
    assert_eq!(ids(&response), [1, 2, 3]);
}
