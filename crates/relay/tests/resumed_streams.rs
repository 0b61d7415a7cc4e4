//! Streams that have begun and break off: what another endpoint answers instead of going on never reaches the
//! caller as a part of the stream.

mod common;

use {
    common::{
        FakeEndpoint, Router, RouterSpec, Script, config_change, endpoint, response_head, route,
    },
    relay::{Route, RouteKind},
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering::SeqCst},
        },
        time::Duration,
    },
};

const REQUEST: &str = "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 4000\r\nprompt: 100\r\n\
     Connection: close\r\nContent-Length: 0\r\n\r\n";
/// Text of an error, which no stream may hold.
const ERROR: &str = "upstream-failed";
const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";

fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The events `from` to 5, completely.
fn rest(from: u64) -> String {
    let head = response_head(
        "q1",
        &format!("{EVENT_STREAM}Transfer-Encoding: chunked\r\n"),
    );
    let events: String = (from..=5).map(|id| chunk(&event(id))).collect();
    format!("{head}{events}0\r\n\r\n")
}

/// A new stream that breaks off inside its third event.
fn broken() -> Script {
    let head = response_head(
        "q1",
        &format!("{EVENT_STREAM}Transfer-Encoding: chunked\r\n"),
    );
    let events = [event(1), event(2), "id: 3\nda".into()].map(|e| chunk(&e));
    Script::SendAndReset(format!("{head}{}", events.concat()).into_bytes())
}

/// How the body of a response is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

/// A response with this status line, further fields and body.
fn answer(status: &str, fields: &str, body: &str, framing: Framing) -> Script {
    let head = format!("HTTP/1.1 {status}\r\nid: q1\r\n{fields}");
    match framing {
        Framing::Length => {
            let length = body.len();
            let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
            Script::Send(vec![text.into()], Duration::ZERO)
        }
        Framing::Chunks => {
            let text = format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
                chunk(body)
            );
            // The head arrives in pieces.
            let pieces = text.as_bytes().chunks(7).map(<[u8]>::to_vec).collect();
            Script::Send(pieces, Duration::from_millis(1))
        }
        Framing::Close => Script::SendAndClose(format!("{head}\r\n{body}").into_bytes()),
    }
}

/// An endpoint that breaks off new streams, and answers the first `bad` resumed ones of the test with `resumed`
/// and completes the others.
fn breaking(asked: &Arc<AtomicUsize>, bad: usize, resumed: &Script) -> FakeEndpoint {
    let (asked, resumed) = (asked.clone(), resumed.clone());
    FakeEndpoint::start(move |_, seen| match seen.field("last-event") {
        None => broken(),
        Some(_) if asked.fetch_add(1, SeqCst) < bad => resumed.clone(),
        Some(last) => {
            let last: u64 = last.parse().unwrap();
            Script::Send(vec![rest(last + 1).into()], Duration::ZERO)
        }
    })
}

/// What the caller gets of a stream that may go to three endpoints, the first `bad` of which that should go on
/// with it answer `resumed`.
fn run(bad: usize, resumed: &Script) -> String {
    let asked = Arc::default();
    let servers: Vec<_> = (0..3).map(|_| breaking(&asked, bad, resumed)).collect();
    let listed = servers.iter().enumerate();
    let listed = listed.map(|(at, s)| endpoint(&format!("e{at}"), s.addr));
    let mut spec = RouterSpec::new(RouteKind::Resumable, listed.collect());
    let route = Route {
        attempts: 3,
        ..route(RouteKind::Resumable)
    };
    spec.config = Some(config_change(1, route));
    let router = Router::start(spec);
    router.wait_ready();
    router.exchange(REQUEST.as_bytes())
}

fn ids(response: &str) -> Vec<u64> {
    let lines = response.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

fn is_complete(response: &str) -> bool {
    response.ends_with("0\r\n\r\n")
}

/// Checks that the caller gets the two events and then a break, and nothing of `resumed`.
fn check_break(case: &str, resumed: &Script) {
    let response = run(usize::MAX, resumed);
    assert_eq!(ids(&response), [1, 2], "{case}: {response}");
    assert!(!is_complete(&response), "{case}: {response}");
    assert!(!response.contains(ERROR), "{case}: {response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{case}");
}

const ALL_FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

/// Bodies of errors: text, JSON, and both with empty lines.
fn errors() -> [String; 4] {
    [
        format!("{ERROR}\n"),
        format!("{{\"error\":\"{ERROR}\"}}"),
        format!("<html>\n\n<p>{ERROR}</p>\n\n</html>\n\n"),
        format!("{{\r\n\r\n\"error\": \"{ERROR}\"\r\n\r\n}}\r\n\r\n"),
    ]
}

#[test]
fn error_of_the_next_endpoint_is_no_part_of_the_stream() {
    for status in [
        "503 Full",
        "500 Failed",
        "404 None",
        "421 Other",
        "502 Bad",
        "204 Empty",
    ] {
        for (fields, framing) in [
            ("", Framing::Length),
            ("not-run: 1\r\n", Framing::Chunks),
            (EVENT_STREAM, Framing::Close),
        ] {
            let body = format!("{}id: 3\ndata: {ERROR}\n\n", errors()[2]);
            let case = format!("{status} {fields:?} {framing:?}");
            check_break(&case, &answer(status, fields, &body, framing));
        }
    }
}

/// The text of an error with status 200 was forwarded as an event.
#[test]
fn success_that_is_no_event_stream_is_no_part_of_the_stream() {
    for fields in [
        "Content-Type: text/plain\r\n",
        "Content-Type: application/json\r\n",
    ] {
        for framing in ALL_FRAMINGS {
            for body in errors() {
                let case = format!("{fields:?} {framing:?} {body:?}");
                check_break(&case, &answer("200 OK", fields, &body, framing));
                let body = format!("id: 3\ndata: {ERROR}\n\n{body}");
                check_break(&case, &answer("200 OK", fields, &body, framing));
            }
        }
    }
}

/// Text without an id went to the caller as an event of its stream.
#[test]
fn event_without_an_id_is_no_part_of_a_resumed_stream() {
    let head = format!("HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\n{ERROR}\n\n");
    let bodies = [
        format!("data: {ERROR}\n\n"),
        format!("event: error\r\ndata: {ERROR}\r\n\r\n"),
        format!("{head}id: 3\ndata: e3\n\n"),
    ];
    for body in bodies.iter().chain(&errors()) {
        for framing in ALL_FRAMINGS {
            for fields in ["", EVENT_STREAM] {
                let case = format!("{fields:?} {framing:?} {body:?}");
                check_break(&case, &answer("200 OK", fields, body, framing));
            }
        }
    }
}

/// Events that arrived together with an invalid one were lost: the next endpoint went on after them.
#[test]
fn events_before_a_gap_are_not_lost() {
    for last in [event(5), format!("data: {ERROR}\n\n")] {
        let body = event(3) + &last;
        let response = run(1, &answer("200 OK", EVENT_STREAM, &body, Framing::Length));
        assert_eq!(ids(&response), [1, 2, 3, 4, 5], "{response}");
        assert!(
            is_complete(&response) && !response.contains(ERROR),
            "{response}"
        );
    }
}

/// A second run of a stream, sent from its first event, was appended to the first run.
#[test]
fn stream_that_begins_anew_is_not_joined() {
    check_break("anew", &Script::Send(vec![rest(1).into()], Duration::ZERO));
    let known = response_head("q1", EVENT_STREAM) + &event(1) + &event(2);
    check_break("nothing new", &Script::SendAndClose(known.into()));
}

/// A stream ended although another endpoint could go on with it.
#[test]
fn stream_goes_on_at_the_endpoint_after_an_error() {
    let error = &errors()[0];
    for status in ["503 Full", "500 Failed", "404 None", "502 Bad", "200 OK"] {
        for fields in ["", "not-run: 1\r\n"] {
            if status == "200 OK" && !fields.is_empty() {
                continue;
            }
            let response = run(1, &answer(status, fields, error, Framing::Length));
            assert_eq!(
                ids(&response),
                [1, 2, 3, 4, 5],
                "{status} {fields:?}: {response}"
            );
            assert!(
                is_complete(&response) && !response.contains(ERROR),
                "{status}"
            );
        }
    }
}
