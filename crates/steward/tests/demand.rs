//! The demand at the entries of a zone determines how many endpoints are ordered.

mod common;

use {
    common::{TERM_MS, TestZone},
    eyre::Result,
    harness::HttpClient,
    http_types::Method,
    serde_json::json,
    std::{net::SocketAddr, thread},
    wire::Call,
};

/// Concurrent requests; an endpoint takes 8 at once.
const REQUESTS: usize = 20;
/// Endpoints that the requests need at 6.4 each: 8 slots at 80% use.
const REQUIRED_ENDPOINTS: usize = 4;

/// Sends a request that runs for longer than the test.
fn send(http: HttpClient, entry: SocketAddr) {
    let body = json!({
        "model": "surveyor-llm",
        "max_tokens": 2_000,
        "messages": [{"role": "user", "content": "history of boiler 7"}],
    });
    thread::spawn(move || {
        let mut call = Call::new(entry, Method::Post, "/v1/chat/completions");
        call.request
            .insert_header("authorization", "Bearer ck-demo-rice-mill");
        call.request
            .insert_header("content-type", "application/json");
        http.send(call.body(body.to_string().into()))
    });
}

#[test]
fn waiting_requests_start_endpoints_within_the_pool_bounds() -> Result<()> {
    let zone = TestZone::start_with(2, TERM_MS, &["--step-us", "100000"])?;
    zone.publish_pool(1, REQUIRED_ENDPOINTS as u32)?;
    zone.holder()?;
    let entries = zone.cluster.caller_addrs();
    for i in 0..REQUESTS {
        send(zone.cluster.http.clone(), entries[i % entries.len()]);
    }
    zone.wait_orders(
        "endpoints for the demand",
        REQUIRED_ENDPOINTS - common::INITIAL_ENDPOINTS,
    )?;
    zone.keep_running()?;
    assert_eq!(
        common::distinct_orders(&zone.orders()?),
        REQUIRED_ENDPOINTS - common::INITIAL_ENDPOINTS
    );
    Ok(())
}
