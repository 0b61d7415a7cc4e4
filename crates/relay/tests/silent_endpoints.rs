//! Sound endpoints that fall silent for a moment and go on.

mod common;

use {
    common::{FakeEndpoint, Router, Script, endpoint, response_head},
    relay::{Endpoint, RouteKind},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Callers at the same time: more than the retry budget lets move to another endpoint.
const CALLERS: usize = 40;
/// How long the endpoints are silent.
const SILENCE: Duration = Duration::from_millis(1_400);
const EVENTS: u64 = 6;
/// Longer than an endpoint may be silent that accepts no connections.
const LONG_WORK: Duration = Duration::from_millis(5_500);

fn chunk(id: u64) -> Vec<u8> {
    let event = format!("id: {id}\ndata: e{id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

/// An endpoint that answers whole streams, silent for a moment after `events` of them.
fn falls_silent_after(events: u64) -> FakeEndpoint {
    FakeEndpoint::start(move |_, seen| {
        let id = seen.field("id").unwrap_or_default();
        let last = seen.field("last-event").and_then(|v| v.parse::<u64>().ok());
        let first = last.unwrap_or_default() + 1;
        let mut before = response_head(&id, "Transfer-Encoding: chunked\r\n").into_bytes();
        (first..=events).for_each(|id| before.extend(chunk(id)));
        let mut after = Vec::new();
        (first.max(events + 1)..=EVENTS).for_each(|id| after.extend(chunk(id)));
        after.extend(b"0\r\n\r\n");
        if events == 0 {
            return Script::Pause(SILENCE, [before, after].concat());
        }
        Script::Send(vec![before, after], SILENCE)
    })
}

/// An endpoint with slots for all callers.
fn large(id: &str, server: &FakeEndpoint) -> Endpoint {
    Endpoint {
        slots: CALLERS as u32,
        ..endpoint(id, server.addr)
    }
}

fn ids(response: &str) -> Vec<u64> {
    let lines = response.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

/// The responses to streams that were sent at the same time.
fn stream_all(router: &Router) -> Vec<String> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|at| {
                scope.spawn(move || {
                    let request = format!(
                        "POST /a HTTP/1.1\r\nHost: h\r\nid: q{at}\r\ntimeout-ms: 6000\r\nprompt: 100\r\n\
                         session: {at}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                    );
                    router.exchange(request.as_bytes())
                })
            })
            .collect();
        let callers = callers.into_iter();
        callers.map(|caller| caller.join().unwrap()).collect()
    })
}

fn assert_whole(responses: &[String]) {
    let whole =
        |r: &&String| ids(r) == (1..=EVENTS).collect::<Vec<_>>() && r.ends_with("0\r\n\r\n");
    let others: Vec<_> = responses.iter().filter(|r| !whole(r)).collect();
    assert!(
        others.is_empty(),
        "{} of {} streams are not whole, such as {:?}",
        others.len(),
        responses.len(),
        others[0]
    );
}

/// Streams were taken from silent endpoints and closed where the retry budget did not allow them to go on.
#[test]
fn streams_of_endpoints_that_fall_silent_for_a_moment_are_not_cut() {
    let (first, second) = (falls_silent_after(3), falls_silent_after(3));
    let endpoints = vec![large("e1", &first), large("e2", &second)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    assert_whole(&stream_all(&router));
    assert_eq!(
        first.count() + second.count(),
        CALLERS,
        "streams were moved"
    );
}

/// The same for streams that have not begun: callers got a failure.
#[test]
fn streams_wait_for_endpoints_that_are_silent_before_the_first_event() {
    let (first, second) = (falls_silent_after(0), falls_silent_after(0));
    let endpoints = vec![large("e1", &first), large("e2", &second)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    assert_whole(&stream_all(&router));
}

/// With one endpoint there is nowhere to go on.
#[test]
fn streams_of_a_single_silent_endpoint_are_not_cut() {
    let server = falls_silent_after(2);
    let router = Router::with(RouteKind::Resumable, vec![large("e1", &server)]);
    assert_whole(&stream_all(&router));
}

/// Requests that took longer than three seconds at an idle endpoint got a failure.
#[test]
fn long_request_is_not_given_up_while_its_endpoint_accepts_connections() {
    let server = FakeEndpoint::start(|_, seen| {
        let id = seen.field("id").unwrap_or_default();
        let response = response_head(&id, "Content-Length: 2\r\n") + "ok";
        Script::Pause(LONG_WORK, response.into_bytes())
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let request = "POST /a HTTP/1.1\r\nHost: h\r\nid: q\r\ntimeout-ms: 8000\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n";
    let response = router.exchange(request.as_bytes());
    assert!(response.ends_with("ok"), "{response}");
}

/// A stream that stalls and sends a byte now and then.
fn trickles_after(events: u64) -> FakeEndpoint {
    FakeEndpoint::start(move |_, seen| {
        let id = seen.field("id").unwrap_or_default();
        let last = seen.field("last-event").and_then(|v| v.parse::<u64>().ok());
        let first = last.unwrap_or_default() + 1;
        let mut begun = response_head(&id, "Transfer-Encoding: chunked\r\n").into_bytes();
        if last.is_some() {
            (first..=EVENTS).for_each(|id| begun.extend(chunk(id)));
            begun.extend(b"0\r\n\r\n");
            return Script::Send(vec![begun], Duration::ZERO);
        }
        (first..=events).for_each(|id| begun.extend(chunk(id)));
        let mut pieces = vec![begun];
        pieces.extend(std::iter::repeat_n(b"1\r\n:\r\n".to_vec(), 40));
        Script::Send(pieces, Duration::from_millis(200))
    })
}

/// A stream that stalled went on nowhere as long as a byte came now and then.
#[test]
fn stalled_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere() {
    let (first, second) = (trickles_after(3), trickles_after(3));
    let endpoints = vec![large("e1", &first), large("e2", &second)];
    let router = Router::with(RouteKind::Resumable, endpoints);
    let request = "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 6000\r\nprompt: 100\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n";
    let begun = Instant::now();
    assert_whole(&[router.exchange(request.as_bytes())]);
    assert!(begun.elapsed() < Duration::from_secs(4));
}

/// A stalled stream that can't go on elsewhere ends at its timeout, visibly.
#[test]
fn stalled_stream_ends_at_its_timeout() {
    let server = trickles_after(3);
    let router = Router::with(RouteKind::Stream, vec![large("e1", &server)]);
    let request = "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 2000\r\nprompt: 100\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n";
    let begun = Instant::now();
    let response = router.exchange(request.as_bytes());
    assert!(begun.elapsed() < Duration::from_millis(2_600));
    assert_eq!(ids(&response), [1, 2, 3]);
    assert!(!response.ends_with("0\r\n\r\n"));
}

/// Slow streams are whole beside quick ones of the same endpoint.
#[test]
fn slow_streams_are_not_cut_beside_quick_ones() {
    let server = FakeEndpoint::start(|number, seen| {
        let id = seen.field("id").unwrap_or_default();
        let mut pieces = vec![response_head(&id, "Transfer-Encoding: chunked\r\n").into_bytes()];
        pieces.extend((1..=EVENTS).map(chunk));
        pieces.last_mut().unwrap().extend(b"0\r\n\r\n");
        let slow = number % 2 == 0;
        Script::Send(pieces, Duration::from_millis(if slow { 900 } else { 60 }))
    });
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        let router = Router::with(kind, vec![large("e1", &server)]);
        let before = server.count();
        assert_whole(&stream_all(&router));
        assert_eq!(server.count() - before, CALLERS);
    }
}
