//! Demand at the entries drives the orders of their zone.

mod common;

use {
    common::{TERM_MS, Zone},
    eyre::Result,
    harness::HttpClient,
    http_types::Method,
    serde_json::json,
    std::{net::SocketAddr, thread},
    wire::Call,
};

/// Requests at once; one endpoint holds 8 of them.
const REQUESTS: usize = 20;
/// Endpoints that 20 requests want at 6.4 each.
const WANTED: usize = 4;

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
fn waiting_requests_start_endpoints_within_the_pool() -> Result<()> {
    let zone = Zone::start_with(2, TERM_MS, &["--step-us", "100000"])?;
    zone.want_between(1, WANTED as u32)?;
    zone.holder()?;
    let entries = zone.cluster.caller_addrs();
    for i in 0..REQUESTS {
        send(zone.cluster.http.clone(), entries[i % entries.len()]);
    }
    zone.wait_orders("endpoints for the demand", WANTED - common::ENGINES)?;
    zone.run_on()?;
    assert_eq!(common::distinct(&zone.orders()?), WANTED - common::ENGINES);
    Ok(())
}
