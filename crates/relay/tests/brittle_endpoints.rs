//! Endpoints that fall over when they have to refuse many requests, before a small fleet.

mod common;

use {
    common::{CutFleet, FakeEndpoint, Router, Script, response_head},
    relay::RouteKind,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Refusals in a second that an endpoint bears.
const BORNE: usize = 4;
/// Requests that an endpoint runs at once.
const SLOTS: u32 = 8;
const WORK_TIME: Duration = Duration::from_millis(60);
/// Time from the first word of the endpoints until they fall over.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Callers of each VM that send one request after the other: more than there are slots.
const CALLERS: usize = 12;

struct BrittleEndpoint {
    server: FakeEndpoint,
    refusals: Arc<Mutex<Vec<Instant>>>,
}

fn start_endpoint() -> BrittleEndpoint {
    let running = Arc::new(AtomicU32::new(0));
    let refusals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let refused = refusals.clone();
    let server = FakeEndpoint::start(move |_, seen| {
        let id = seen.field("id").unwrap_or_default();
        let fields = format!("brittle: {BORNE}\r\nContent-Length: 2\r\n");
        let response = format!("{}ok", response_head(&id, &fields));
        if running.fetch_add(1, SeqCst) >= SLOTS {
            running.fetch_sub(1, SeqCst);
            refused.lock().unwrap().push(Instant::now());
            let response = response.replacen("200 OK", "503 Full\r\nnot-run: 1", 1);
            return Script::Send(vec![response.into_bytes()], Duration::ZERO);
        }
        thread::sleep(WORK_TIME);
        running.fetch_sub(1, SeqCst);
        Script::Send(vec![response.into_bytes()], Duration::ZERO)
    });
    BrittleEndpoint { server, refusals }
}

/// Sends one request after the other until `end`; refused callers come back after a moment.
fn call_until(vm: &Router, end: Instant) {
    let request =
        b"GET /a HTTP/1.1\r\nHost: h\r\nid: q\r\ntimeout-ms: 2000\r\nConnection: close\r\n\r\n";
    while Instant::now() < end {
        let response = vm.exchange(request);
        if !response.ends_with("ok") {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// A burst drove endpoints that had said that they are brittle beyond the refusals that they bear.
#[test]
fn burst_keeps_brittle_endpoints_within_the_refusals_that_they_bear() {
    let endpoints = [start_endpoint(), start_endpoint(), start_endpoint()];
    let [a, b, c] = endpoints;
    let refusals = [a.refusals, b.refusals, c.refusals];
    let servers = [a.server, b.server, c.server];
    let fleet = CutFleet::start(RouteKind::Once, &[2, 2], &servers);
    let begun = Instant::now();
    let vms = || fleet.zones.iter().flat_map(|z| &z.vms);
    for vm in vms() {
        call_until(vm, Instant::now() + Duration::from_millis(200));
    }
    thread::scope(|scope| {
        for vm in vms() {
            for _ in 0..CALLERS {
                scope.spawn(|| call_until(vm, begun + CONTACT_TIME * 3));
            }
        }
    });
    for endpoint in refusals {
        let mut times = endpoint.lock().unwrap().clone();
        times.retain(|at| *at >= begun + CONTACT_TIME);
        let within = |from: &Instant| {
            let later = times.iter().filter(|at| *at >= from);
            later
                .filter(|at| **at < *from + Duration::from_secs(1))
                .count()
        };
        let most = times.iter().map(within).max().unwrap_or_default();
        assert!(most <= BORNE, "{most} refusals in a second");
    }
    let served: usize = servers.iter().map(FakeEndpoint::count).sum();
    assert!(served > 0);
}
