//! Buffered responses: each caller gets its own response, complete, and a refusal claims "not run"
//! only if that is so.

mod common;

use {
    common::{FakeEndpoint, Router, Script, endpoint, response_head},
    relay::RouteKind,
    std::{io::Write, time::Duration},
};

const REQUEST_HEAD: &str =
    "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\npatience: 3000\r\nConnection: close\r\n";

fn request(body: &str) -> Vec<u8> {
    format!("{REQUEST_HEAD}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn complete(id: &str, body: &str) -> Script {
    let head = response_head(id, &format!("Content-Length: {}\r\n", body.len()));
    Script::Send(vec![format!("{head}{body}").into_bytes()], Duration::ZERO)
}

fn refused() -> Script {
    let text = "HTTP/1.1 503 Full\r\nid: q1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    Script::Send(vec![text.into()], Duration::ZERO)
}

#[test]
fn response_is_forwarded_unchanged() {
    let server = FakeEndpoint::start(|_, _| complete("q1", "hello"));
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let response = router.exchange(&request("body"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("\r\n\r\nhello"), "{response}");
    let seen = server.request(0);
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.field("endpoint").as_deref(), Some("e1"));
    let patience: u64 = seen.field("patience").unwrap().parse().unwrap();
    assert!(patience <= 3_000);
}

#[test]
fn once_request_is_not_retried_after_a_reset() {
    let server = FakeEndpoint::start(|_, _| Script::SendAndReset(Vec::new()));
    let other = FakeEndpoint::start(|_, _| Script::SendAndReset(Vec::new()));
    let endpoints = vec![endpoint("e1", server.addr), endpoint("e2", other.addr)];
    let router = Router::with(RouteKind::Once, endpoints);
    let response = router.exchange(&request(""));
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(server.count() + other.count(), 1);
}

#[test]
fn idempotent_request_is_retried_elsewhere_after_a_truncated_response() {
    let cut = format!("{}only", response_head("q1", "Content-Length: 10\r\n"));
    let script =
        move |_: usize, _: &common::SeenRequest| Script::SendAndClose(cut.clone().into_bytes());
    let first = FakeEndpoint::start(script);
    let second = FakeEndpoint::start(|_, _| complete("q1", "hello"));
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Idempotent, endpoints);
    for _ in 0..6 {
        let response = router.exchange(&request(""));
        assert!(response.ends_with("hello"), "{response}");
    }
    assert!(first.count() >= 1);
}

#[test]
fn refusal_of_the_endpoint_is_forwarded_as_not_run() {
    let server = FakeEndpoint::start(|_, _| refused());
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let response = router.exchange(&request(""));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("Retry-After: 0."), "{response}");
}

#[test]
fn refusal_after_an_attempt_of_unknown_outcome_does_not_claim_not_run() {
    let first = FakeEndpoint::start(|_, _| Script::SendAndReset(Vec::new()));
    let second = FakeEndpoint::start(|_, _| refused());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Idempotent, endpoints);
    for _ in 0..4 {
        let before = first.count();
        let response = router.exchange(&request(""));
        if first.count() > before {
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            return;
        }
    }
    panic!("the first endpoint was never asked");
}

#[test]
fn late_response_to_an_earlier_request_is_skipped() {
    let server = FakeEndpoint::start(|_, _| {
        let stale = format!("{}stale", response_head("q0", "Content-Length: 5\r\n"));
        let own = format!("{}fresh", response_head("q1", "Content-Length: 5\r\n"));
        Script::Send(vec![(stale + &own).into_bytes()], Duration::ZERO)
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let response = router.exchange(&request(""));
    assert!(response.ends_with("fresh"), "{response}");
}

#[test]
fn connection_with_bytes_after_a_response_is_not_reused() {
    let server = FakeEndpoint::start(|number, _| {
        let own = format!("{}a{number}", response_head("q1", "Content-Length: 2\r\n"));
        let with_extra = format!("{}xx", response_head("q1", "Content-Length: 2\r\n"));
        Script::Send(vec![(own + &with_extra).into_bytes()], Duration::ZERO)
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    for number in 0..3 {
        let response = router.exchange(&request(""));
        assert!(response.ends_with(&format!("a{number}")), "{response}");
    }
    assert_eq!(*server.connections.lock().unwrap(), 3);
}

#[test]
fn response_ended_by_close_is_complete_only_without_a_reset() {
    let whole = FakeEndpoint::start(|_, _| {
        Script::SendAndClose(format!("{}open end", response_head("q1", "")).into_bytes())
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", whole.addr)]);
    let response = router.exchange(&request(""));
    assert!(response.ends_with("open end"), "{response}");
    let cut = FakeEndpoint::start(|_, _| {
        Script::SendAndReset(format!("{}open", response_head("q1", "")).into_bytes())
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", cut.addr)]);
    let response = router.exchange(&request(""));
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
}

#[test]
fn caller_that_leaves_closes_the_endpoint_connection() {
    let server = FakeEndpoint::start(|_, _| Script::Hang);
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let mut socket = router.connect();
    socket.write_all(&request("")).unwrap();
    router.wait_for(|| server.count() == 1);
    drop(socket);
    router.wait_for(|| *server.closed.lock().unwrap() == 1);
}

#[test]
fn request_without_a_response_gets_504_at_its_timeout() {
    let server = FakeEndpoint::start(|_, _| Script::Hang);
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let text = REQUEST_HEAD.replace("3000", "400");
    let response = router.exchange(format!("{text}Content-Length: 0\r\n\r\n").as_bytes());
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
}

#[test]
fn ambiguous_body_lengths_are_refused() {
    let server = FakeEndpoint::start(|_, _| complete("q1", "hello"));
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: -3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    ] {
        let response = router.exchange(format!("{REQUEST_HEAD}{fields}\r\nabc").as_bytes());
        assert!(response.starts_with("HTTP/1.1 400"), "{fields}: {response}");
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn request_before_any_configuration_gets_503_instead_of_404() {
    let mut spec = common::RouterSpec::new(RouteKind::Once, Vec::new());
    spec.config = None;
    let router = Router::start(spec);
    router.wait_for(|| router.readiness().is_some());
    let response = router.exchange(&request(""));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(router.readiness(), Some(503));
}
