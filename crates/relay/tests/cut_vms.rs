//! VMs that have lost their links to all endpoints, while callers and the other VMs still reach them.

mod common;

use {
    common::{
        CutFleet, FakeEndpoint, FakeLog, Gate, GateState, Router, RouterSpec, Script,
        config_change, response_head, route,
    },
    relay::{Route, RouteKind},
    std::{
        io::{Read, Write},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Time after which a VM is expected to have found out that it is cut off.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const ENDPOINTS: usize = 4;
const REQUESTS: usize = 30;
const EVENTS: usize = 6;
/// Requests at each VM of a large fleet.
const FEW: usize = 4;
/// Time in which the VMs of a large fleet find their hubs.
const HUB_TIME: Duration = Duration::from_secs(5);

fn responding() -> FakeEndpoint {
    FakeEndpoint::start(|_, seen| {
        let id = seen.field("id").unwrap_or_default();
        let head = response_head(&id, "Content-Length: 2\r\n");
        Script::Send(vec![format!("{head}ok").into_bytes()], Duration::ZERO)
    })
}

fn start_endpoints() -> Vec<FakeEndpoint> {
    (0..ENDPOINTS).map(|_| responding()).collect()
}

/// Number of requests that this VM answers.
fn served(vm: &Router, name: &str) -> usize {
    served_of(REQUESTS, vm, name)
}

fn served_few(vm: &Router, name: &str) -> usize {
    served_of(FEW, vm, name)
}

fn served_of(count: usize, vm: &Router, name: &str) -> usize {
    let requests = (0..count).map(|at| {
        let request = format!(
            "GET /a HTTP/1.1\r\nHost: h\r\nid: {name}{at}\r\ntimeout-ms: 2000\r\nConnection: close\r\n\r\n"
        );
        vm.exchange(request.as_bytes())
    });
    requests.filter(|r| r.ends_with("ok")).count()
}

/// Requests that reached the endpoints.
fn arrivals(servers: &[FakeEndpoint]) -> usize {
    servers.iter().map(FakeEndpoint::count).sum()
}

/// A cut VM tried one endpoint after the other by itself, and served almost nothing.
#[test]
fn vm_that_is_cut_off_from_all_endpoints_serves_requests_through_other_vms() {
    for state in [GateState::Hangs, GateState::Refuses, GateState::Resets] {
        let servers = start_endpoints();
        let fleet = CutFleet::start(RouteKind::Once, &[1, 2], &servers);
        let cut = &fleet.zones[0];
        assert_eq!(served(&cut.vms[0], "before"), REQUESTS);
        cut.set(state);
        // These are the requests by which the VM learns of the cut.
        served(&cut.vms[0], "during");
        thread::sleep(CONTACT_TIME);
        let before = arrivals(&servers);
        assert_eq!(served(&cut.vms[0], "cut"), REQUESTS, "{state:?}");
        assert_eq!(arrivals(&servers), before + REQUESTS, "{state:?}");
    }
}

/// Cut VMs took endpoints for crashed, as they refused all their connections, and the whole fleet then refused
/// the requests that had been there.
#[test]
fn vm_that_is_cut_off_accuses_no_request_of_crashing_endpoints() {
    let hanging = REQUESTS;
    let server = || {
        FakeEndpoint::start(move |number, seen| {
            if number < hanging / ENDPOINTS && seen.field("id").unwrap().starts_with("held") {
                return Script::Hang;
            }
            let id = seen.field("id").unwrap_or_default();
            let head = response_head(&id, "Content-Length: 2\r\n");
            Script::Send(vec![format!("{head}ok").into_bytes()], Duration::ZERO)
        })
    };
    let servers: Vec<_> = (0..ENDPOINTS).map(|_| server()).collect();
    let fleet = CutFleet::start(RouteKind::Once, &[1, 2], &servers);
    let cut = &fleet.zones[0];
    let held: Vec<_> = (0..2 * ENDPOINTS)
        .map(|at| {
            let mut socket = cut.vms[0].connect();
            let request = format!("GET /a HTTP/1.1\r\nHost: h\r\nid: held{at}\r\n\r\n");
            socket.write_all(request.as_bytes()).unwrap();
            socket
        })
        .collect();
    cut.vms[0].wait_for(|| arrivals(&servers) == 2 * ENDPOINTS);
    assert!(servers.iter().all(|s| s.count() > 0));
    cut.set(GateState::Resets);
    thread::sleep(CONTACT_TIME);
    assert_eq!(served(&fleet.zones[1].vms[0], "other"), REQUESTS);
    assert_eq!(served(&cut.vms[0], "cut"), REQUESTS);
    drop(held);
}

/// An endpoint of streams with this pause between the events.
fn streaming(pause: Duration) -> FakeEndpoint {
    FakeEndpoint::start(move |_, seen| {
        let id = seen.field("id").unwrap_or_default();
        let mut pieces = vec![response_head(&id, "Transfer-Encoding: chunked\r\n").into_bytes()];
        for event in 1..=EVENTS {
            let event = format!("id: {event}\ndata: e\n\n");
            pieces.push(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
        }
        pieces.push(b"0\r\n\r\n".to_vec());
        Script::Send(pieces, pause)
    })
}

fn stream_request(id: &str) -> String {
    format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nid: {id}\r\nprompt: 100\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Cuts a VM off and waits until it knows.
fn cut_off(fleet: &CutFleet, state: GateState) {
    let cut = &fleet.zones[0];
    cut.set(state);
    served(&cut.vms[0], "learns");
    thread::sleep(CONTACT_TIME);
}

/// A carried stream must arrive event by event, and end at the endpoint when its caller leaves.
#[test]
fn carried_streams_are_forwarded_as_they_come_and_end_with_their_caller() {
    let pause = Duration::from_millis(150);
    let servers = [streaming(pause), streaming(pause)];
    let fleet = CutFleet::start(RouteKind::Stream, &[1, 2], &servers);
    let vm = &fleet.zones[0].vms[0];
    fleet.zones[0].set(GateState::Refuses);
    let is_whole = |response: String| response.ends_with("0\r\n\r\n");
    vm.wait_for(|| is_whole(vm.exchange(stream_request("learns").as_bytes())));

    let mut socket = vm.connect();
    let begun = Instant::now();
    socket
        .write_all(stream_request("whole").as_bytes())
        .unwrap();
    let mut text = String::new();
    let mut first = None;
    let mut buf = [0; 1024];
    while let Ok(size @ 1..) = socket.read(&mut buf) {
        text += &String::from_utf8_lossy(&buf[..size]);
        if text.contains("id: 1\n") {
            first.get_or_insert(begun.elapsed());
        }
    }
    assert!(text.ends_with("0\r\n\r\n"), "{text}");
    assert!(text.contains(&format!("id: {EVENTS}\n")), "{text}");
    let rest = begun.elapsed() - first.unwrap();
    assert!(
        rest > pause * (EVENTS as u32 - 2),
        "{rest:?} after the first event"
    );

    let closed = || -> usize { servers.iter().map(|s| *s.closed.lock().unwrap()).sum() };
    let before = closed();
    let mut socket = vm.connect();
    socket.write_all(stream_request("left").as_bytes()).unwrap();
    let _ = socket.read(&mut buf).unwrap();
    drop(socket);
    let left = Instant::now();
    vm.wait_for(|| closed() > before);
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "{:?}",
        left.elapsed()
    );
}

/// Two VMs that carried requests for each other would pass them on without end.
#[test]
fn vms_that_are_all_cut_off_refuse_at_once_and_pass_nothing_on() {
    let servers = start_endpoints();
    let fleet = CutFleet::start(RouteKind::Once, &[1, 1, 1], &servers);
    fleet.zones.iter().for_each(|z| z.set(GateState::Refuses));
    for zone in &fleet.zones {
        served(&zone.vms[0], "learns");
    }
    thread::sleep(CONTACT_TIME);
    let before = arrivals(&servers);
    for zone in &fleet.zones {
        let begun = Instant::now();
        let request =
            b"GET /a HTTP/1.1\r\nHost: h\r\nid: q\r\ntimeout-ms: 2000\r\nConnection: close\r\n\r\n";
        let response = zone.vms[0].exchange(request);
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("not_run"), "{response}");
        assert!(begun.elapsed() < Duration::from_millis(500));
    }
    assert_eq!(arrivals(&servers), before);
    fleet.zones[1].set(GateState::Open);
    thread::sleep(CONTACT_TIME);
    assert_eq!(served(&fleet.zones[0].vms[0], "carried"), REQUESTS);
}

/// A carrier that loses power keeps its connections; what is sent there has no answer.
#[test]
fn requests_leave_a_carrier_that_dies() {
    let servers = start_endpoints();
    let mut fleet = CutFleet::start(RouteKind::Idempotent, &[1, 1, 1], &servers);
    cut_off(&fleet, GateState::Refuses);
    fleet.zones.remove(1).vms.remove(0).kill();
    let vm = &fleet.zones[0].vms[0];
    // While the others still take it for alive, a request may wait for it.
    served(vm, "at-once");
    thread::sleep(CONTACT_TIME);
    let begun = Instant::now();
    assert_eq!(served(vm, "after"), REQUESTS);
    assert!(begun.elapsed() < CONTACT_TIME, "{:?}", begun.elapsed());
}

/// A carrier that stops finishes what it carries and takes nothing more.
#[test]
fn carrier_that_stops_finishes_what_it_carries() {
    let servers = [streaming(Duration::from_millis(250))];
    let fleet = CutFleet::start(RouteKind::Stream, &[1, 1], &servers);
    let vm = &fleet.zones[0].vms[0];
    fleet.zones[0].set(GateState::Refuses);
    let is_whole = |response: String| response.ends_with("0\r\n\r\n");
    vm.wait_for(|| is_whole(vm.exchange(stream_request("learns").as_bytes())));
    let before = servers[0].count();
    let carried = thread::scope(|scope| {
        let carried = scope.spawn(|| vm.exchange(stream_request("carried").as_bytes()));
        vm.wait_for(|| servers[0].count() > before);
        fleet.zones[1].vms[0].stop.trigger();
        carried.join().unwrap()
    });
    assert!(carried.ends_with("0\r\n\r\n"), "{carried}");
}

/// Both VMs see a carried request; it must be billed once.
#[test]
fn carried_requests_are_reported_once() {
    let servers = start_endpoints();
    let log: Arc<FakeLog> = Arc::default();
    let fleet = CutFleet::start_with(&[1, 2], &servers, |endpoints| {
        let mut spec = RouterSpec::new(RouteKind::Once, endpoints);
        let route = Route {
            open: false,
            ..route(RouteKind::Once)
        };
        spec.config = Some(config_change(1, route));
        spec.log = log.clone();
        spec
    });
    fleet.zones[0].set(GateState::Refuses);
    let vm = &fleet.zones[0].vms[0];
    let request = |at| {
        format!(
            "GET /a HTTP/1.1\r\nHost: h\r\nid: u{at}\r\nkey: secret\r\nConnection: close\r\n\r\n"
        )
    };
    let responses = (0..REQUESTS).map(|at| vm.exchange(request(at).as_bytes()));
    assert_eq!(responses.filter(|r| r.ends_with("ok")).count(), REQUESTS);
    let vms = || fleet.zones.iter().flat_map(|z| &z.vms);
    let reported = || -> u64 {
        let reports = vms().flat_map(|vm| vm.duty_api.reports.lock().unwrap().clone());
        let counts = reports.flat_map(|(_, _, counts)| counts.into_values());
        counts.sum()
    };
    vm.wait_for(|| reported() >= REQUESTS as u64);
    thread::sleep(CONTACT_TIME);
    assert_eq!(reported(), REQUESTS as u64);
}

/// Endpoints that are silent but accept connections are no reason for a detour.
#[test]
fn silent_endpoints_are_not_taken_for_a_cut() {
    let silence = Duration::from_millis(1_400);
    let server = || {
        FakeEndpoint::start(move |_, seen| {
            let id = seen.field("id").unwrap_or_default();
            let head = response_head(&id, "Content-Length: 2\r\n");
            Script::Pause(silence, format!("{head}ok").into_bytes())
        })
    };
    let servers: Vec<_> = (0..ENDPOINTS).map(|_| server()).collect();
    let fleet = CutFleet::start(RouteKind::Once, &[1, 2], &servers);
    let vm = &fleet.zones[0].vms[0];
    let responses = thread::scope(|scope| {
        let callers: Vec<_> = (0..REQUESTS)
            .map(|at| {
                let request =
                    format!("GET /a HTTP/1.1\r\nHost: h\r\nid: s{at}\r\nConnection: close\r\n\r\n");
                scope.spawn(move || vm.exchange(request.as_bytes()))
            })
            .collect();
        let callers = callers.into_iter();
        callers.map(|c| c.join().unwrap()).collect::<Vec<_>>()
    });
    assert!(responses.iter().all(|r| r.ends_with("ok")));
    let carried = fleet.zones[1]
        .gates
        .iter()
        .map(Gate::forwarded)
        .sum::<usize>();
    assert_eq!(carried, 0, "requests went through other VMs");
}

/// VMs of a large fleet know only the hubs of their zone, which must not carry everything.
#[test]
fn cut_zone_of_a_large_fleet_is_served_through_the_vms_of_other_zones() {
    let servers = start_endpoints();
    let fleet = CutFleet::start(RouteKind::Idempotent, &[20, 12, 12], &servers);
    thread::sleep(HUB_TIME);
    let cut = &fleet.zones[0];
    cut.set(GateState::Hangs);
    thread::scope(|scope| {
        for vm in &cut.vms {
            scope.spawn(|| served_few(vm, "learns"));
        }
    });
    thread::sleep(CONTACT_TIME);
    let forwarded = |zone: usize| -> usize {
        let gates = fleet.zones[zone].gates.iter();
        gates.map(Gate::forwarded).sum()
    };
    let before = [forwarded(1), forwarded(2)];
    let counts: Vec<_> = thread::scope(|scope| {
        let callers: Vec<_> = cut
            .vms
            .iter()
            .map(|vm| scope.spawn(|| served_few(vm, "cut")))
            .collect();
        callers.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert_eq!(counts, vec![FEW; cut.vms.len()]);
    for zone in [1, 2] {
        let carried = forwarded(zone) - before[zone - 1];
        let all = FEW * cut.vms.len();
        assert!(carried * 4 >= all, "{carried} of {all} through zone {zone}");
    }
}

/// A VM without others suspected its links when one of its endpoints refused, and refused requests meanwhile.
#[test]
fn vm_without_others_goes_on_by_itself_while_it_suspects_its_links() {
    let servers = start_endpoints();
    let fleet = CutFleet::start(RouteKind::Once, &[1], &servers);
    let zone = &fleet.zones[0];
    for gate in &zone.gates[1..] {
        gate.set(GateState::Refuses);
        thread::sleep(Duration::from_millis(1_200));
        assert_eq!(served(&zone.vms[0], "one-left"), REQUESTS);
    }
}
