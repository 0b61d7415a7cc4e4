//! VMs that start while the platform rejects other VMs of their zone.

mod common;

use {
    common::{
        CutFleet, FakeEndpoint, Ports, Router, RouterSpec, Script, config_change, endpoint,
        response_head, route,
    },
    relay::{FeedChange, FeedKind, RouteKind},
    std::{
        sync::atomic::Ordering::SeqCst,
        thread,
        time::{Duration, Instant},
    },
};

/// Time after its start from which a VM must act on current configurations and endpoints.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which a configuration that a VM can know is in force there.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time after which the state of a VM that can't read the platform is stale.
const STALE_TIME: Duration = Duration::from_millis(1_500);
/// Time in which all VMs of a large fleet find their hubs.
const HUB_TIME: Duration = Duration::from_secs(6);
/// The reader of the zone in small fleets: the VM with the last name.
const READER: &str = "vm-9";

fn request() -> Vec<u8> {
    b"GET /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 9000\r\nConnection: close\r\n\r\n"
        .to_vec()
}

fn responding() -> FakeEndpoint {
    FakeEndpoint::start(|_, _| {
        let head = response_head("q1", "Content-Length: 5\r\n");
        Script::Send(vec![format!("{head}hello").into_bytes()], Duration::ZERO)
    })
}

/// A configuration whose route asks for a key.
fn closed_route() -> FeedChange {
    let mut closed = route(RouteKind::Once);
    closed.open = false;
    config_change(5, closed)
}

/// VMs of one availability zone, each with a platform of its own.
struct Zone {
    server: FakeEndpoint,
    ports: Ports,
    vms: Vec<Router>,
}

impl Zone {
    fn new() -> Self {
        Self {
            server: responding(),
            ports: Ports::free(),
            vms: Vec::new(),
        }
    }

    /// Starts a VM; `prepare` changes what it starts with.
    fn start(&mut self, name: &'static str, ip: [u8; 4], prepare: impl FnOnce(&mut RouterSpec)) {
        let mut spec = RouterSpec {
            name,
            ip: ip.into(),
            ports: self.ports,
            seeds: self.vms.iter().map(|vm| vm.control).collect(),
            ..RouterSpec::new(RouteKind::Once, vec![endpoint("e1", self.server.addr)])
        };
        prepare(&mut spec);
        self.vms.push(Router::start(spec));
    }

    fn last(&self) -> &Router {
        self.vms.last().unwrap()
    }
}

/// Waits until a VM that was started at `begun` refuses requests without a key; returns its age then.
fn age_when_closed(vm: &Router, begun: Instant) -> Duration {
    vm.wait_ready();
    vm.wait_for(|| vm.exchange(&request()).starts_with("HTTP/1.1 401"));
    begun.elapsed()
}

/// A VM took the old configuration of its zone's reader, which the platform rejected, and ran requests with a
/// removed key until 3.4 s after its start.
#[test]
fn vm_that_starts_beside_a_rejected_reader_reads_the_platform_in_time() {
    let mut zone = Zone::new();
    zone.start(READER, [127, 0, 0, 3], |_| {});
    zone.vms[0].wait_ready();
    zone.vms[0].feed.down.store(true, SeqCst);
    thread::sleep(STALE_TIME);
    let begun = Instant::now();
    zone.start("vm-1", [127, 0, 0, 4], |spec| {
        spec.config = Some(closed_route());
    });
    let age = age_when_closed(zone.last(), begun);
    assert!(age < CONTACT_TIME, "{age:?}");
}

/// As above, when the reader has started just before and could never read the platform.
#[test]
fn vm_that_starts_beside_a_reader_without_state_reads_the_platform_in_time() {
    let mut zone = Zone::new();
    zone.start(READER, [127, 0, 0, 5], |spec| {
        spec.feed.down.store(true, SeqCst);
    });
    let begun = Instant::now();
    zone.start("vm-1", [127, 0, 0, 6], |spec| {
        spec.config = Some(closed_route());
    });
    let age = age_when_closed(zone.last(), begun);
    assert!(age < CONTACT_TIME, "{age:?}");
}

/// A VM kept the stale state of the first VM that responded, although another one had a fresh one. The platform rejects the VM, so
/// that it can't read the state itself.
#[test]
fn rejected_vm_starts_with_the_state_of_a_vm_that_reads_the_platform() {
    let mut zone = Zone::new();
    zone.start(READER, [127, 0, 0, 7], |_| {});
    zone.vms[0].wait_ready();
    zone.vms[0].feed.down.store(true, SeqCst);
    zone.start("vm-8", [127, 0, 0, 8], |spec| {
        spec.config = Some(closed_route());
    });
    age_when_closed(zone.last(), Instant::now());
    let begun = Instant::now();
    zone.start("vm-1", [127, 0, 0, 9], |spec| {
        spec.feed.down.store(true, SeqCst);
    });
    let age = age_when_closed(zone.last(), begun);
    assert!(age < CONTACT_TIME, "{age:?}");
}

/// The reader of a zone that the platform rejected acted on the old configuration until it was served again, although
/// another VM had the newer one.
#[test]
fn rejected_reader_of_a_small_fleet_uses_the_state_of_another_vm() {
    let mut zone = Zone::new();
    zone.start(READER, [127, 0, 0, 10], |_| {});
    zone.start("vm-8", [127, 0, 0, 11], |_| {});
    zone.vms.iter().for_each(Router::wait_ready);
    thread::sleep(CONTACT_TIME);
    zone.vms[0].feed.down.store(true, SeqCst);
    zone.last()
        .feed
        .push(FeedKind::Configuration, closed_route());
    let begun = Instant::now();
    age_when_closed(zone.last(), begun);
    let read = Instant::now();
    let age = age_when_closed(&zone.vms[0], read);
    assert!(age < APPLY_TIME, "{age:?}");
}

/// A fleet with hubs whose second zone the platform rejects. All VMs of the first one know the newer configuration.
fn large_fleet_with_rejected_zone(server: &FakeEndpoint) -> CutFleet {
    let fleet = CutFleet::start(RouteKind::Once, &[22, 22], std::slice::from_ref(server));
    thread::sleep(HUB_TIME);
    for vm in &fleet.zones[1].vms {
        vm.feed.down.store(true, SeqCst);
    }
    for vm in &fleet.zones[0].vms {
        vm.feed.push(FeedKind::Configuration, closed_route());
    }
    thread::sleep(STALE_TIME);
    fleet
}

/// Starts a VM that the platform rejects in the second zone; returns its age when it acts on the newer configuration.
fn start_rejected(fleet: &CutFleet, server: &FakeEndpoint, name: &'static str) -> Duration {
    let spec = RouterSpec {
        name,
        zone: "z1",
        ip: [127, 0, 0, 100].into(),
        ports: fleet.ports,
        seeds: fleet.zones[0].vms[..3]
            .iter()
            .map(|vm| vm.control)
            .collect(),
        config: None,
        ..RouterSpec::new(RouteKind::Once, vec![endpoint("e0", server.addr)])
    };
    spec.feed.down.store(true, SeqCst);
    let begun = Instant::now();
    let vm = Router::start(spec);
    age_when_closed(&vm, begun)
}

/// As in small fleets, with a zone whose hubs use the state of other zones.
#[test]
fn rejected_vm_of_a_fleet_with_hubs_starts_with_a_fresh_state() {
    let server = responding();
    let fleet = large_fleet_with_rejected_zone(&server);
    let age = start_rejected(&fleet, &server, "vm-000x");
    assert!(age < CONTACT_TIME, "{age:?}");
}

/// As above; the VM becomes the first hub of its zone.
#[test]
fn rejected_first_hub_of_a_zone_starts_with_a_fresh_state() {
    let server = responding();
    let fleet = large_fleet_with_rejected_zone(&server);
    let age = start_rejected(&fleet, &server, "vm-999");
    assert!(age < CONTACT_TIME, "{age:?}");
}
