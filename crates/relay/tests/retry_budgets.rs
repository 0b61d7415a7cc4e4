//! The fleet-wide retry budget, with endpoints that fail all requests.

mod common;

use {
    common::{FakeEndpoint, Ports, Router, RouterSpec, Script, endpoint, response_head},
    relay::RouteKind,
    std::{
        collections::HashSet,
        net::IpAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// More VMs than those of the smallest deployments.
const VMS: u8 = 32;
const FEW_VMS: u8 = 8;
const ENDPOINTS: usize = 4;
/// Window of the bound, and the retries in it: a share of the requests and a fixed number.
const WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_RESERVE: f64 = 56.0;
/// Requests of each VM.
const REQUESTS: usize = 6;

struct Fleet {
    endpoints: Vec<FakeEndpoint>,
    ports: Ports,
    vms: Vec<Router>,
    started: u8,
}

impl Fleet {
    fn start(vms: u8) -> Self {
        let respond = |_: usize, seen: &common::SeenRequest| {
            let id = seen.field("id").unwrap_or_default();
            let head = response_head(&id, "Content-Length: 6\r\n").replace("200 OK", "500 Failed");
            Script::Send(vec![format!("{head}failed").into_bytes()], Duration::ZERO)
        };
        let endpoints = (0..ENDPOINTS).map(|_| FakeEndpoint::start(respond));
        let mut fleet = Self {
            endpoints: endpoints.collect(),
            ports: Ports::free(),
            vms: Vec::new(),
            started: 0,
        };
        fleet.start_vms(vms, true);
        fleet
    }

    fn start_vms(&mut self, vms: u8, first_start: bool) {
        for _ in 0..vms {
            let listed = self.endpoints.iter().enumerate();
            let listed = listed.map(|(at, e)| endpoint(&format!("e{at}"), e.addr));
            let mut spec = RouterSpec::new(RouteKind::Idempotent, listed.collect());
            spec.name = format!("vm-{:03}", self.started).leak();
            spec.ip = IpAddr::from([127, 0, 0, 1 + self.started]);
            spec.ports = self.ports;
            spec.seeds = self.vms.iter().take(3).map(|r| r.control).collect();
            spec.first_start = first_start;
            self.started += 1;
            self.vms.push(Router::start(spec));
        }
        self.vms.iter().for_each(Router::wait_ready);
    }

    /// Sends so many requests to each VM, all within a second.
    fn send(&self, name: &str, count: usize) {
        thread::scope(|scope| {
            for (at, vm) in self.vms.iter().enumerate() {
                scope.spawn(move || {
                    for number in 0..count {
                        let id = format!("{name}-{at}-{number}");
                        let request = format!(
                            "GET /{id} HTTP/1.1\r\nHost: h\r\nid: {id}\r\nConnection: close\r\n\r\n"
                        );
                        vm.exchange(request.as_bytes());
                    }
                });
            }
        });
    }

    /// Number of requests that arrived at the endpoints, and of arrivals beyond the first of each.
    fn arrivals(&self) -> (usize, usize) {
        let seen = self
            .endpoints
            .iter()
            .flat_map(|e| e.seen.lock().unwrap().clone());
        let ids: Vec<_> = seen.filter_map(|s| s.field("id")).collect();
        let requests = ids.iter().collect::<HashSet<_>>().len();
        (requests, ids.len() - requests)
    }

    /// Checks the bound for all arrivals, which fall into one window.
    fn check(&self, begun: Instant) {
        let took = begun.elapsed();
        let (requests, retries) = self.arrivals();
        println!("{requests} requests, {retries} retries in {took:?}");
        assert!(took < WINDOW, "the machine is too slow: {took:?}");
        let allowed = RETRY_RATIO * requests as f64 + RETRY_RESERVE;
        assert!(retries as f64 <= allowed, "{retries} retries of {allowed}");
        assert!(retries > 0);
    }
}

/// Guards against shares that ignore the size of the fleet: a budget that was created after all VMs had been discovered got an
/// eighth of the reserve.
#[test]
fn vms_of_a_large_fleet_keep_the_retry_budget() {
    let fleet = Fleet::start(VMS);
    thread::sleep(WINDOW);
    let begun = Instant::now();
    fleet.send("a", REQUESTS);
    fleet.check(begun);
}

/// Guards against a second share of the reserve in the window of a restart.
#[test]
fn restart_of_all_vms_doubles_no_retry_budget() {
    let mut fleet = Fleet::start(FEW_VMS);
    thread::sleep(WINDOW);
    let begun = Instant::now();
    fleet.send("a", REQUESTS);
    fleet.vms.drain(..).for_each(Router::kill);
    fleet.start_vms(FEW_VMS, false);
    fleet.send("b", REQUESTS);
    fleet.check(begun);
}
