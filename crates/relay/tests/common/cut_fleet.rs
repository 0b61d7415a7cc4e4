//! VMs in several availability zones, each zone with its own paths to the endpoints.

use {
    super::{
        endpoint::FakeEndpoint,
        gate::{Gate, GateState},
        router::{Ports, Router, RouterSpec, endpoint},
    },
    relay::RouteKind,
    std::{net::IpAddr, thread, time::Duration},
};

/// Time in which the VMs of a small fleet hear of each other.
const MEETING_TIME: Duration = Duration::from_millis(1_500);

/// The VMs of one availability zone.
pub(crate) struct CutZone {
    pub(crate) vms: Vec<Router>,
    pub(crate) gates: Vec<Gate>,
}

impl CutZone {
    /// Sets the state of all paths to the endpoints.
    pub(crate) fn set(&self, state: GateState) {
        self.gates.iter().for_each(|g| g.set(state));
    }
}

/// A fleet whose zones can be cut off from all endpoints.
pub(crate) struct CutFleet {
    pub(crate) zones: Vec<CutZone>,
    pub(crate) ports: Ports,
}

impl CutFleet {
    /// Starts zones with these numbers of VMs.
    pub(crate) fn start(kind: RouteKind, zones: &[u8], servers: &[FakeEndpoint]) -> Self {
        Self::start_with(zones, servers, |feed| RouterSpec::new(kind, feed))
    }

    /// As above; `spec` makes the specification of a VM from its endpoints.
    pub(crate) fn start_with(
        zones: &[u8],
        servers: &[FakeEndpoint],
        spec: impl Fn(Vec<relay::Endpoint>) -> RouterSpec,
    ) -> Self {
        let ports = Ports::free();
        let mut seeds = Vec::new();
        let mut fleet = Self {
            zones: Vec::new(),
            ports,
        };
        let mut started = 0;
        for (number, vms) in zones.iter().enumerate() {
            let gates: Vec<_> = servers.iter().map(|s| Gate::start(s.addr)).collect();
            let mut zone = CutZone {
                vms: Vec::new(),
                gates,
            };
            for _ in 0..*vms {
                let listed = zone.gates.iter().enumerate();
                let listed = listed.map(|(at, g)| endpoint(&format!("e{at}"), g.addr));
                let mut spec = spec(listed.collect());
                spec.name = format!("vm-{started:03}").leak();
                spec.zone = format!("z{number}").leak();
                spec.ip = IpAddr::from([127, 0, 0, 1 + started]);
                spec.ports = ports;
                spec.seeds = seeds.clone();
                started += 1;
                let vm = Router::start(spec);
                if seeds.len() < 3 {
                    seeds.push(vm.control);
                }
                zone.vms.push(vm);
            }
            fleet.zones.push(zone);
        }
        let vms = fleet.zones.iter().flat_map(|z| &z.vms);
        vms.for_each(Router::wait_ready);
        thread::sleep(MEETING_TIME);
        fleet
    }
}
