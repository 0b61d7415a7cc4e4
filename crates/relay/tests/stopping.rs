//! Planned stops, endpoints that leave, configurations that change.

mod common;

use {
    common::{
        FakeEndpoint, Ports, Router, RouterSpec, Script, answer_head, config_change, endpoint,
        route,
    },
    relay::{FeedChange, FeedKind, RouteKind},
    serde::de::IgnoredAny,
    std::{
        io::{Read, Write},
        net::TcpStream,
        sync::atomic::Ordering::SeqCst,
        thread,
        time::Duration,
    },
};

fn ask(extra: &str) -> Vec<u8> {
    format!("GET /a HTTP/1.1\r\nHost: h\r\nid: q1\r\npatience: 9000\r\n{extra}\r\n").into_bytes()
}

fn answering(body: &'static str) -> FakeEndpoint {
    FakeEndpoint::start(move |_, _| {
        let head = answer_head("q1", &format!("Content-Length: {}\r\n", body.len()));
        Script::Send(vec![format!("{head}{body}").into_bytes()], Duration::ZERO)
    })
}

#[test]
fn stop_ends_no_request_that_is_under_way() {
    let server = FakeEndpoint::start(|_, _| {
        let head = answer_head("q1", "Content-Length: 4\r\n");
        Script::Send(
            vec![head.into_bytes(), b"do".to_vec(), b"ne".to_vec()],
            Duration::from_millis(400),
        )
    });
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let mut socket = router.connect();
    socket.write_all(&ask("")).unwrap();
    router.wait_for(|| server.count() == 1);
    router.stop.trigger();
    router.wait_for(|| router.readiness() == Some(503));
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("done"), "{answer}");
    router.join();
}

#[test]
fn request_that_may_outlast_a_stopping_router_is_refused_as_not_run() {
    let server = answering("hello");
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    router.stop.trigger();
    let answer = router.exchange(&ask("Connection: close\r\n"));
    assert!(
        answer.ends_with("hello"),
        "right after the signal: {answer}"
    );
    thread::sleep(Duration::from_millis(3_000));
    let answer = router.exchange(&ask("Connection: close\r\n"));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("Retry-After"), "{answer}");
    assert_eq!(server.count(), 1);
    router.join();
}

#[test]
fn leaving_endpoint_gets_no_more_requests() {
    let (first, second) = (answering("one"), answering("two"));
    let endpoints = vec![endpoint("e1", first.addr), endpoint("e2", second.addr)];
    let router = Router::with(RouteKind::Once, endpoints);
    let mut leaving = endpoint("e1", first.addr);
    leaving.leaving = true;
    router
        .feed
        .push(FeedKind::Endpoints, FeedChange::Listed(leaving));
    thread::sleep(Duration::from_millis(1_500));
    let before = first.count();
    for _ in 0..10 {
        let answer = router.exchange(&ask("Connection: close\r\n"));
        assert!(answer.ends_with("two"), "{answer}");
    }
    assert_eq!(first.count(), before);
}

#[test]
fn older_configuration_never_comes_back() {
    let server = answering("hello");
    let router = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let mut closed = route(RouteKind::Once);
    closed.open = false;
    let kind = FeedKind::Configuration;
    router.feed.push(kind, config_change(5, closed));
    let refused = || {
        let answer = router.exchange(&ask("Connection: close\r\n"));
        answer.starts_with("HTTP/1.1 401")
    };
    router.wait_for(refused);
    router
        .feed
        .push(kind, config_change(3, route(RouteKind::Once)));
    thread::sleep(Duration::from_millis(300));
    assert!(refused());
    let answer = router.exchange(&ask("key: secret\r\nConnection: close\r\n"));
    assert!(answer.ends_with("hello"), "{answer}");
    let seen = server.request(server.count() - 1);
    assert_eq!(seen.field("org").as_deref(), Some("acme"));
    assert_eq!(seen.field("key"), None);
}

#[test]
fn router_that_starts_without_the_platform_learns_from_another() {
    let server = answering("hello");
    let first = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    let mut spec = RouterSpec::new(RouteKind::Once, Vec::new());
    spec.config = None;
    spec.name = "vm-2";
    spec.ip = [127, 0, 0, 2].into();
    spec.seeds = vec![first.control];
    spec.feed
        .down
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let second = Router::start(spec);
    second.wait_ready();
    let answer = second.exchange(&ask("Connection: close\r\n"));
    assert!(answer.ends_with("hello"), "{answer}");
}

/// A reader and a VM that follows it, each with its own view of the platform.
fn reader_and_follower(server: &FakeEndpoint) -> (Router, Router) {
    let ports = Ports::free();
    let spec = |name, ip: [u8; 4]| RouterSpec {
        name,
        ip: ip.into(),
        ports,
        ..RouterSpec::new(RouteKind::Once, vec![endpoint("e1", server.addr)])
    };
    // Of equal VMs the one with the last name reads.
    let reader = Router::start(spec("vm-9", [127, 0, 0, 3]));
    let mut second = spec("vm-1", [127, 0, 0, 4]);
    second.seeds = vec![reader.control];
    let follower = Router::start(second);
    reader.wait_ready();
    follower.wait_ready();
    (reader, follower)
}

#[test]
fn follower_learns_from_its_reader() {
    let server = answering("hello");
    let (reader, follower) = reader_and_follower(&server);
    // The follower's own platform is silent once it follows.
    thread::sleep(Duration::from_millis(2_500));
    follower.feed.stuck.store(true, SeqCst);
    let mut closed = route(RouteKind::Once);
    closed.open = false;
    reader
        .feed
        .push(FeedKind::Configuration, config_change(5, closed));
    let begun = std::time::Instant::now();
    follower.wait_for(|| {
        let answer = follower.exchange(&ask("Connection: close\r\n"));
        answer.starts_with("HTTP/1.1 401")
    });
    // In force everywhere within two seconds.
    assert!(begun.elapsed() < Duration::from_secs(2));
}

#[test]
fn follower_leaves_an_endpoint_in_time_though_its_reader_hangs() {
    let server = answering("hello");
    let (reader, follower) = reader_and_follower(&server);
    thread::sleep(Duration::from_millis(2_500));
    reader.feed.stuck.store(true, SeqCst);
    let mut leaving = endpoint("e1", server.addr);
    leaving.leaving = true;
    follower
        .feed
        .push(FeedKind::Endpoints, FeedChange::Listed(leaving));
    // Requests may reach a leaving endpoint for two seconds.
    thread::sleep(Duration::from_millis(1_900));
    let before = server.count();
    let answer = follower.exchange(&ask("Connection: close\r\n"));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(server.count(), before);
}

#[test]
fn only_the_next_reader_turns_to_the_platform_when_the_first_one_hangs() {
    let server = answering("hello");
    let ports = Ports::free();
    let spec = |name, ip: [u8; 4]| RouterSpec {
        name,
        ip: ip.into(),
        ports,
        drain: Duration::from_secs(3),
        ..RouterSpec::new(RouteKind::Once, vec![endpoint("e1", server.addr)])
    };
    let first = Router::start(spec("vm-9", [127, 0, 0, 5]));
    let mut second = spec("vm-8", [127, 0, 0, 6]);
    second.seeds = vec![first.control];
    let mut third = spec("vm-1", [127, 0, 0, 7]);
    third.seeds = vec![first.control];
    let (second, third) = (Router::start(second), Router::start(third));
    [&first, &second, &third]
        .into_iter()
        .for_each(Router::wait_ready);
    // Until all have heard each other for long enough to follow.
    thread::sleep(Duration::from_millis(3_000));
    let calls = |router: &Router| router.feed.calls.load(SeqCst);
    let (before, idle) = (calls(&second), calls(&third));
    first.feed.stuck.store(true, SeqCst);
    let begun = std::time::Instant::now();
    second.wait_for(|| calls(&second) > before);
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(calls(&third), idle, "the third VM read the platform");
    // It still learns of a leaving endpoint, from the second one.
    let mut leaving = endpoint("e1", server.addr);
    leaving.leaving = true;
    second
        .feed
        .push(FeedKind::Endpoints, FeedChange::Listed(leaving));
    third.wait_for(|| {
        let answer = third.exchange(&ask("Connection: close\r\n"));
        answer.starts_with("HTTP/1.1 503")
    });
    assert!(begun.elapsed() < Duration::from_secs(8));
}

/// How old a router says that its view of configuration and endpoints is, in milliseconds.
fn told_ages(router: &Router) -> [u64; 2] {
    type Ask = (Option<(u64, u64)>, u64, Vec<u8>, bool);
    type Told = (u64, u64, IgnoredAny, IgnoredAny, IgnoredAny, [u64; 2]);
    let ask: Ask = (None, 0, Vec::new(), false);
    let body = rmp_serde::to_vec(&ask).unwrap();
    let mut socket = TcpStream::connect(router.control).unwrap();
    let head = format!(
        "POST /news HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).unwrap();
    socket.write_all(&body).unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).unwrap();
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap();
    let told: Told = rmp_serde::from_slice(&answer[end + 4..]).unwrap();
    told.5
}

#[test]
fn reader_that_returns_from_an_outage_says_so_until_lapsed_entries_are_settled() {
    let server = answering("hello");
    let reader = Router::with(RouteKind::Once, vec![endpoint("e1", server.addr)]);
    assert!(told_ages(&reader)[1] < 1_000);
    reader.feed.down.store(true, SeqCst);
    // Long enough for entries to lapse.
    thread::sleep(Duration::from_millis(3_500));
    let gone = FeedChange::Unlisted("e1".parse().unwrap());
    reader.feed.push(FeedKind::Endpoints, gone);
    reader.feed.down.store(false, SeqCst);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(
        told_ages(&reader)[1],
        u64::MAX,
        "its list is not the platform's"
    );
    reader.wait_for(|| told_ages(&reader)[1] < 1_000);
}
