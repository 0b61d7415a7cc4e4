//! Usage reports of the requests that ran.

mod common;

use {
    common::{FakeEndpoint, Router, RouterSpec, Script, config_change, endpoint, route},
    relay::{Route, RouteKind},
    std::time::Duration,
};

/// Requests of each kind.
const REQUESTS: usize = 6;

/// Streams that an endpoint ran and failed were not billed.
#[test]
fn failed_requests_that_ran_are_reported() {
    for kind in [RouteKind::Idempotent, RouteKind::Stream] {
        let server = FakeEndpoint::start(|_, _| {
            let response = "HTTP/1.1 500 Failed\r\nid: q1\r\nContent-Length: 0\r\n\r\n";
            Script::Send(vec![response.into()], Duration::ZERO)
        });
        let mut spec = RouterSpec::new(kind, vec![endpoint("e1", server.addr)]);
        let route = Route {
            open: false,
            attempts: 1,
            ..route(kind)
        };
        spec.config = Some(config_change(1, route));
        let router = Router::start(spec);
        router.wait_ready();
        for _ in 0..REQUESTS {
            let response = router.exchange(
                b"GET /a HTTP/1.1\r\nHost: h\r\nid: q1\r\nkey: secret\r\nConnection: close\r\n\r\n",
            );
            assert!(response.starts_with("HTTP/1.1 500"), "{response}");
        }
        router.wait_for(|| {
            let reports = router.duty_api.reports.lock().unwrap();
            let counts = reports.iter().flat_map(|(_, _, counts)| counts.values());
            counts.sum::<u64>() == REQUESTS as u64
        });
    }
}
