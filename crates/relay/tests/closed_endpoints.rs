//! Endpoints that say in their responses that they leave, or refuse requests for a time.

mod common;

use {
    common::{FakeEndpoint, Ports, Router, RouterSpec, Script, endpoint, response_head},
    relay::{Endpoint, FeedChange, FeedKind, RouteKind},
    std::{
        net::IpAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

fn request() -> Vec<u8> {
    b"GET /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 6000\r\nConnection: close\r\n\r\n"
        .to_vec()
}

/// An endpoint that serves all requests; its responses carry `leaving` while that is set.
fn serving(leaving: &Arc<AtomicBool>) -> FakeEndpoint {
    let leaving = leaving.clone();
    FakeEndpoint::start(move |_, _| {
        let word = if leaving.load(SeqCst) {
            "leaving: 1\r\n"
        } else {
            ""
        };
        let head = response_head("q1", &format!("{word}Content-Length: 2\r\n"));
        Script::Send(vec![format!("{head}ok").into_bytes()], Duration::ZERO)
    })
}

/// An endpoint that refuses its first request for a time, and serves the others.
fn busy_once(busy_ms: u64) -> FakeEndpoint {
    FakeEndpoint::start(move |at, _| {
        let response = if at == 0 {
            format!(
                "HTTP/1.1 503 Busy\r\nid: q1\r\nnot-run: 1\r\nbusy-ms: {busy_ms}\r\nContent-Length: 0\r\n\r\n"
            )
        } else {
            format!("{}ok", response_head("q1", "Content-Length: 2\r\n"))
        };
        Script::Send(vec![response.into_bytes()], Duration::ZERO)
    })
}

fn flag(value: bool) -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(value))
}

fn serve_many(router: &Router, count: usize) {
    for _ in 0..count {
        let response = router.exchange(&request());
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// While the platform could not be read, requests went on reaching an endpoint whose responses said
/// that it leaves.
#[test]
fn endpoint_that_says_it_leaves_gets_no_new_requests() {
    let leaving = serving(&flag(true));
    let other = serving(&flag(false));
    let listed = [endpoint("e1", leaving.addr), endpoint("e2", other.addr)];
    let router = Router::with(RouteKind::Idempotent, listed.to_vec());
    router.wait_for(|| {
        serve_many(&router, 1);
        leaving.count() == 1
    });
    router.feed.down.store(true, SeqCst);
    serve_many(&router, 20);
    assert_eq!(leaving.count(), 1);
    // A list that was read before the response doesn't reopen it; a restart does.
    router.feed.down.store(false, SeqCst);
    let relist = |born| {
        let listed = Endpoint {
            born,
            slots: 9,
            ..listed[0].clone()
        };
        router
            .feed
            .push(FeedKind::Endpoints, FeedChange::Listed(listed));
    };
    relist(1);
    thread::sleep(Duration::from_millis(900));
    serve_many(&router, 20);
    assert_eq!(leaving.count(), 1);
    relist(2);
    router.wait_for(|| {
        serve_many(&router, 1);
        leaving.count() == 2
    });
}

/// A VM that has had no response of its own sent to an endpoint that had told its peer.
#[test]
fn vms_tell_each_other_of_endpoints_that_leave() {
    let says_so = flag(false);
    let leaving = serving(&says_so);
    let other = serving(&flag(false));
    let listed = [endpoint("e1", leaving.addr), endpoint("e2", other.addr)];
    let ports = Ports::free();
    let start = |name, host, seeds| {
        let mut spec = RouterSpec::new(RouteKind::Idempotent, listed.to_vec());
        spec.name = name;
        spec.ip = IpAddr::from([127, 0, 0, host]);
        spec.ports = ports;
        spec.seeds = seeds;
        Router::start(spec)
    };
    let first = start("vm-1", 1, Vec::new());
    let second = start("vm-2", 2, vec![first.control]);
    first.wait_ready();
    second.wait_ready();
    says_so.store(true, SeqCst);
    let before = leaving.count();
    first.wait_for(|| {
        serve_many(&first, 1);
        leaving.count() > before
    });
    // Gossip passes every 200 ms.
    thread::sleep(Duration::from_secs(2));
    let before = leaving.count();
    serve_many(&second, 20);
    assert_eq!(leaving.count(), before);
}

/// An endpoint that had named a time was asked again 150 ms later.
#[test]
fn endpoint_that_names_a_time_gets_no_requests_until_then() {
    let busy = busy_once(4_000);
    let other = serving(&flag(false));
    let listed = vec![endpoint("e1", busy.addr), endpoint("e2", other.addr)];
    let router = Router::with(RouteKind::Idempotent, listed);
    router.wait_for(|| {
        serve_many(&router, 1);
        busy.count() == 1
    });
    for _ in 0..5 {
        serve_many(&router, 4);
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(busy.count(), 1);
    router.wait_for(|| {
        serve_many(&router, 1);
        busy.count() > 1
    });
}

/// The time that an endpoint had named was forgotten when the list dropped the endpoint and listed
/// it again.
#[test]
fn endpoint_that_is_listed_again_gets_no_requests_before_its_time() {
    let busy = busy_once(6_000);
    let other = serving(&flag(false));
    let listed = [endpoint("e1", busy.addr), endpoint("e2", other.addr)];
    let router = Router::with(RouteKind::Idempotent, listed.to_vec());
    router.wait_for(|| {
        serve_many(&router, 1);
        busy.count() == 1
    });
    let push = |change| router.feed.push(FeedKind::Endpoints, change);
    push(FeedChange::Unlisted(listed[0].id.clone()));
    thread::sleep(Duration::from_millis(900));
    push(FeedChange::Listed(listed[0].clone()));
    thread::sleep(Duration::from_millis(900));
    serve_many(&router, 20);
    assert_eq!(busy.count(), 1);
}

/// When all endpoints have named a time, callers are told when the first one is back.
#[test]
fn callers_are_told_when_the_first_endpoint_takes_requests_again() {
    let busy = busy_once(10_000);
    let router = Router::with(RouteKind::Idempotent, vec![endpoint("e1", busy.addr)]);
    router.exchange(&request());
    let response = router.exchange(&request());
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(busy.count(), 1);
    let seconds = retry_after(&response);
    assert!((8.0..=15.0).contains(&seconds), "{response}");
}

/// Callers were told to come back in 0.4 s however many of them were refused again.
#[test]
fn callers_return_later_while_endpoints_refuse_all_requests() {
    let full = FakeEndpoint::start(|_, _| {
        let response = "HTTP/1.1 503 Full\r\nid: q1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
        Script::Send(vec![response.into()], Duration::ZERO)
    });
    let router = Router::with(RouteKind::Idempotent, vec![endpoint("e1", full.addr)]);
    let first = retry_after(&router.exchange(&request()));
    // One refusal is taken for a half, as one send without a refusal is assumed.
    assert!(first <= 1.0, "{first}");
    (0..9).for_each(|_| drop(router.exchange(&request())));
    // Callers wait up to a third of the six seconds that they have.
    let later = retry_after(&router.exchange(&request()));
    assert!((1.05..=2.0).contains(&later), "{later}");
}

fn retry_after(response: &str) -> f64 {
    let line = response.lines().find(|l| l.starts_with("Retry-After"));
    line.unwrap()["Retry-After: ".len()..].parse().unwrap()
}
