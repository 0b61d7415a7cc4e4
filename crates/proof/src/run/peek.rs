//! What an entry holds, asked over the exchange that entries have among themselves.

use {
    eyre::{Result, bail},
    harness::{HttpClient, MESH_SECRET},
    http_types::Method,
    mesh::{Authenticator, Delta, SYNC_PATH, Summary, SyncRequest, SyncResponse},
    std::{net::SocketAddr, time::Duration},
    types::Incarnation,
    wire::{Call, CallTimeouts, from_msgpack, to_msgpack},
};

/// Name under which the runner asks.
const ASKER: &str = "vm-prover";
const LIMITS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_secs(1),
    body_idle: Duration::from_secs(1),
};

/// The whole state of the entry at `mesh`.
pub(super) fn peek(http: &HttpClient, mesh: SocketAddr) -> Result<Delta> {
    let request = SyncRequest {
        from: ASKER.parse()?,
        incarnation: Incarnation(0),
        have: Summary::default(),
        delta: Delta::default(),
        contact: None,
        headroom: Vec::new(),
    };
    let mut call = Call::new(mesh, Method::Post, SYNC_PATH)
        .body(to_msgpack(&request)?)
        .timeouts(LIMITS);
    Authenticator::new(vec![MESH_SECRET.into()]).sign(&mut call.request);
    let (reply, bytes) = http.send(call)?;
    if reply.status() != 200 {
        bail!("{mesh}: status {}", reply.status());
    }
    let answer: SyncResponse = from_msgpack(&bytes)?;
    Ok(answer.delta)
}
