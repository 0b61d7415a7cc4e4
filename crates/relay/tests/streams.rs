//! Streams: every event once and in order, or a visible break.

mod common;

use {
    common::{FakeEndpoint, Router, Script, answer_head, endpoint},
    relay::RouteKind,
    std::{
        io::{Read, Write},
        time::Duration,
    },
};

const ASK: &str = "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\npatience: 6000\r\nprompt: 100\r\n\
     Connection: close\r\nContent-Length: 0\r\n\r\n";

fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn head() -> Vec<u8> {
    answer_head("q1", "Transfer-Encoding: chunked\r\n").into_bytes()
}

/// Events from `from` on to the end.
fn events(from: u64, to: u64) -> Vec<Vec<u8>> {
    let mut pieces = vec![head()];
    pieces.extend((from..=to).map(|id| chunk(&event(id))));
    pieces.push(b"0\r\n\r\n".to_vec());
    pieces
}

fn ids(answer: &str) -> Vec<u64> {
    let lines = answer.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

/// An endpoint that breaks its first stream in the middle of an event and goes on where asked.
fn breaking() -> FakeEndpoint {
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
fn events_arrive_as_they_come_and_whole() {
    let server = FakeEndpoint::start(|_, _| Script::Send(events(1, 4), Duration::from_millis(20)));
    let router = Router::with(RouteKind::Stream, vec![endpoint("e1", server.addr)]);
    let answer = router.exchange(ASK.as_bytes());
    assert_eq!(ids(&answer), [1, 2, 3, 4]);
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn resumable_stream_goes_on_within_one_answer() {
    let (first, second) = (breaking(), breaking());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    let answer = router.exchange(ASK.as_bytes());
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5]);
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1);
    assert_eq!(first.count() + second.count(), 2);
}

#[test]
fn stream_that_cannot_go_on_breaks_visibly() {
    let (first, second) = (breaking(), breaking());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Stream, endpoints);
    let answer = router.exchange(ASK.as_bytes());
    assert_eq!(ids(&answer), [1, 2]);
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(first.count() + second.count(), 1);
}

#[test]
fn resumed_stream_with_a_gap_breaks() {
    let gap = || {
        FakeEndpoint::start(|_, seen| match seen.field("last-event") {
            None => {
                let mut bytes = head();
                bytes.extend(chunk(&event(1)));
                Script::SendAndReset(bytes)
            }
            Some(_) => Script::Send(events(3, 5), Duration::ZERO),
        })
    };
    let (first, second) = (gap(), gap());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    let answer = router.exchange(ASK.as_bytes());
    assert_eq!(ids(&answer), [1]);
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn caller_that_goes_on_gets_only_what_it_lacks() {
    let server = breaking();
    let router = Router::with(RouteKind::Resumable, vec![endpoint("e1", server.addr)]);
    let text = ASK.replace("id: q1\r\n", "id: q1\r\nlast-event: 3\r\n");
    let answer = router.exchange(text.as_bytes());
    assert_eq!(ids(&answer), [4, 5]);
}

#[test]
fn caller_that_leaves_ends_the_stream_at_the_endpoint() {
    let server =
        FakeEndpoint::start(|_, _| Script::Send(events(1, 400), Duration::from_millis(20)));
    let router = Router::with(RouteKind::Stream, vec![endpoint("e1", server.addr)]);
    let mut socket = router.connect();
    socket.write_all(ASK.as_bytes()).unwrap();
    let mut buf = [0; 64];
    assert!(socket.read(&mut buf).unwrap() > 0);
    drop(socket);
    router.wait_for(|| *server.closed.lock().unwrap() == 1);
}

#[test]
fn stream_whose_events_stop_goes_on_elsewhere() {
    let quiet = || {
        FakeEndpoint::start(|_, seen| match seen.field("last-event") {
            None => {
                let mut bytes = head();
                bytes.extend(chunk(&event(1)));
                Script::Send(vec![bytes], Duration::from_secs(10))
            }
            Some(_) => Script::Send(events(2, 3), Duration::ZERO),
        })
    };
    let (first, second) = (quiet(), quiet());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    let answer = router.exchange(ASK.as_bytes());
    assert_eq!(ids(&answer), [1, 2, 3]);
}
