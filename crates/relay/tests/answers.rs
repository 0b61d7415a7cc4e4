//! Whole answers: each caller gets its own, whole, and a refusal that says "not run" is true.

mod common;

use {
    common::{FakeEndpoint, Router, Script, answer_head, endpoint},
    relay::RouteKind,
    std::{io::Write, time::Duration},
};

const ASK: &str =
    "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\npatience: 3000\r\nConnection: close\r\n";

fn ask(body: &str) -> Vec<u8> {
    format!("{ASK}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn whole(id: &str, body: &str) -> Script {
    let head = answer_head(id, &format!("Content-Length: {}\r\n", body.len()));
    Script::Send(vec![format!("{head}{body}").into_bytes()], Duration::ZERO)
}

fn refused() -> Script {
    let text = "HTTP/1.1 503 Full\r\nid: q1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    Script::Send(vec![text.into()], Duration::ZERO)
}

#[test]
fn answer_comes_back_unchanged() {
    let server = FakeEndpoint::start(|_, _| whole("q1", "hello"));
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let answer = router.exchange(&ask("body"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
    let seen = server.request(0);
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.field("endpoint").as_deref(), Some("e1"));
    let patience: u64 = seen.field("patience").unwrap().parse().unwrap();
    assert!(patience <= 3_000);
}

#[test]
fn request_that_runs_once_is_not_sent_again_after_a_reset() {
    let server = FakeEndpoint::start(|_, _| Script::SendAndReset(Vec::new()));
    let other = FakeEndpoint::start(|_, _| Script::SendAndReset(Vec::new()));
    let endpoints = vec![endpoint("e1", server.addr), endpoint("e2", other.addr)];
    let router = Router::with(RouteKind::Once, endpoints);
    let answer = router.exchange(&ask(""));
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(server.count() + other.count(), 1);
}

#[test]
fn idempotent_request_goes_to_another_endpoint_after_a_cut() {
    let cut = format!("{}only", answer_head("q1", "Content-Length: 10\r\n"));
    let script = move |_: usize, _: &common::Seen| Script::SendAndClose(cut.clone().into_bytes());
    let first = FakeEndpoint::start(script);
    let second = FakeEndpoint::start(|_, _| whole("q1", "hello"));
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Idempotent, endpoints);
    for _ in 0..6 {
        let answer = router.exchange(&ask(""));
        assert!(answer.ends_with("hello"), "{answer}");
    }
    assert!(first.count() >= 1);
}

#[test]
fn refusal_of_the_endpoint_is_passed_on_as_not_run() {
    let server = FakeEndpoint::start(|_, _| refused());
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let answer = router.exchange(&ask(""));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("Retry-After: 0."), "{answer}");
}

#[test]
fn refusal_after_a_run_of_unknown_outcome_does_not_say_not_run() {
    let first = FakeEndpoint::start(|_, _| Script::SendAndReset(Vec::new()));
    let second = FakeEndpoint::start(|_, _| refused());
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Idempotent, endpoints);
    for _ in 0..4 {
        let before = first.count();
        let answer = router.exchange(&ask(""));
        if first.count() > before {
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
            return;
        }
    }
    panic!("the first endpoint was never asked");
}

#[test]
fn late_answer_to_an_earlier_request_is_skipped() {
    let server = FakeEndpoint::start(|_, _| {
        let stale = format!("{}stale", answer_head("q0", "Content-Length: 5\r\n"));
        let own = format!("{}fresh", answer_head("q1", "Content-Length: 5\r\n"));
        Script::Send(vec![(stale + &own).into_bytes()], Duration::ZERO)
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let answer = router.exchange(&ask(""));
    assert!(answer.ends_with("fresh"), "{answer}");
}

#[test]
fn connection_with_bytes_behind_an_answer_is_not_used_again() {
    let server = FakeEndpoint::start(|number, _| {
        let own = format!("{}a{number}", answer_head("q1", "Content-Length: 2\r\n"));
        let extra = format!("{}xx", answer_head("q1", "Content-Length: 2\r\n"));
        Script::Send(vec![(own + &extra).into_bytes()], Duration::ZERO)
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    for number in 0..3 {
        let answer = router.exchange(&ask(""));
        assert!(answer.ends_with(&format!("a{number}")), "{answer}");
    }
    assert_eq!(*server.connections.lock().unwrap(), 3);
}

#[test]
fn answer_that_ends_with_its_connection_is_whole_only_without_a_reset() {
    let whole = FakeEndpoint::start(|_, _| {
        Script::SendAndClose(format!("{}open end", answer_head("q1", "")).into_bytes())
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", whole.addr)]);
    let answer = router.exchange(&ask(""));
    assert!(answer.ends_with("open end"), "{answer}");
    let cut = FakeEndpoint::start(|_, _| {
        Script::SendAndReset(format!("{}open", answer_head("q1", "")).into_bytes())
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", cut.addr)]);
    let answer = router.exchange(&ask(""));
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

#[test]
fn caller_that_leaves_ends_the_run() {
    let server = FakeEndpoint::start(|_, _| Script::Hang);
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let mut socket = router.connect();
    socket.write_all(&ask("")).unwrap();
    router.wait_for(|| server.count() == 1);
    drop(socket);
    router.wait_for(|| *server.closed.lock().unwrap() == 1);
}

#[test]
fn request_without_an_answer_is_told_so_at_the_routes_timeout() {
    let server = FakeEndpoint::start(|_, _| Script::Hang);
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let text = ASK.replace("3000", "400");
    let answer = router.exchange(format!("{text}Content-Length: 0\r\n\r\n").as_bytes());
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
}

#[test]
fn ambiguous_lengths_are_refused() {
    let server = FakeEndpoint::start(|_, _| whole("q1", "hello"));
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: -3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    ] {
        let answer = router.exchange(format!("{ASK}{fields}\r\nabc").as_bytes());
        assert!(answer.starts_with("HTTP/1.1 400"), "{fields}: {answer}");
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn without_a_configuration_nothing_is_said_to_be_missing() {
    let mut spec = common::RouterSpec::new(RouteKind::Once, Vec::new());
    spec.config = None;
    let router = Router::start(spec);
    router.wait_for(|| router.readiness().is_some());
    let answer = router.exchange(&ask(""));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(router.readiness(), Some(503));
}
