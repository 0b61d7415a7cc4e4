//! VMs that have lost their links to all endpoints, while callers and the other VMs still reach them.

mod common;

use {
    common::{CutFleet, FakeEndpoint, GateState, Router, Script, response_head},
    relay::RouteKind,
    std::{thread, time::Duration},
};

/// Time after which a VM is expected to have found out that it is cut off.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const ENDPOINTS: usize = 4;
const REQUESTS: usize = 30;

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
    let requests = (0..REQUESTS).map(|at| {
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
