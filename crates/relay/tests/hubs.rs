//! A fleet that is large enough for hubs, over real sockets.

mod common;

use {
    common::{FakeEndpoint, Ports, Router, RouterSpec, Script, endpoint, response_head},
    relay::{Endpoint, FeedChange, FeedKind, RouteKind},
    std::{
        net::IpAddr,
        sync::{Arc, atomic::Ordering::SeqCst},
        thread,
        time::Duration,
    },
};

/// More VMs than exchange their loads with each other.
const VMS: u8 = 44;
/// Time in which all VMs of a new fleet find their hubs.
const START_TIME: Duration = Duration::from_secs(6);
/// Bound for a change of the list: the shortest drain of the users' fleets of this size.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Most calls of the platform a second by one reader: the fake feed answers after 5 ms, and has two
/// kinds of changes.
const CALLS_OF_READER: usize = 400;

fn start_fleet(first_endpoint: Endpoint) -> Vec<Router> {
    let ports = Ports::free();
    let mut feed = Arc::default();
    let mut fleet: Vec<Router> = Vec::new();
    for at in 0..VMS {
        let listed = Vec::from_iter((at == 0).then(|| first_endpoint.clone()));
        let mut spec = RouterSpec::new(RouteKind::Idempotent, listed);
        if at == 0 {
            feed = spec.feed.clone();
        } else {
            spec.config = None;
            spec.feed = feed.clone();
        }
        spec.name = format!("vm-{at:02}").leak();
        spec.ip = IpAddr::from([127, 0, 0, 1 + at]);
        spec.ports = ports;
        spec.drain = SPREAD_TIME;
        spec.seeds = fleet.iter().take(3).map(|r| r.control).collect();
        fleet.push(Router::start(spec));
    }
    fleet
}

fn serving() -> FakeEndpoint {
    FakeEndpoint::start(|_, _| {
        let response = format!("{}ok", response_head("q1", "Content-Length: 2\r\n"));
        Script::Send(vec![response.into_bytes()], Duration::ZERO)
    })
}

/// Sends a request to each VM.
fn serve_by_all(fleet: &[Router]) {
    for router in fleet {
        let request = b"GET /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 6000\r\nConnection: close\r\n\r\n";
        let response = router.exchange(request);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Replaces the endpoint `old` by `new` in the platform's list.
fn replace(router: &Router, old: &Endpoint, new: &Endpoint) {
    let leaving = Endpoint {
        leaving: true,
        ..old.clone()
    };
    for listed in [new.clone(), leaving] {
        router
            .feed
            .push(FeedKind::Endpoints, FeedChange::Listed(listed));
    }
}

#[test]
fn vms_of_a_large_zone_follow_its_hub_and_the_next_one_when_it_stops() {
    let servers = [serving(), serving(), serving()];
    let listed = [0, 1, 2].map(|at| endpoint(&format!("e{at}"), servers[at].addr));
    let mut fleet = start_fleet(listed[0].clone());
    fleet.iter().for_each(Router::wait_ready);
    thread::sleep(START_TIME);

    let before = fleet[0].feed.calls.load(SeqCst);
    thread::sleep(Duration::from_secs(1));
    let calls = fleet[0].feed.calls.load(SeqCst) - before;
    assert!(calls <= 2 * CALLS_OF_READER, "{calls} calls a second");

    replace(&fleet[0], &listed[0], &listed[1]);
    thread::sleep(SPREAD_TIME);
    let before = servers[0].count();
    serve_by_all(&fleet);
    assert_eq!(servers[0].count(), before);

    // Of equal VMs the one with the last name is the first hub.
    let hub = fleet.pop().unwrap();
    hub.stop.trigger();
    hub.join();
    replace(&fleet[0], &listed[1], &listed[2]);
    thread::sleep(SPREAD_TIME);
    let before = servers[1].count();
    serve_by_all(&fleet);
    assert_eq!(servers[1].count(), before);
    assert_eq!(servers[2].count(), fleet.len());
}
