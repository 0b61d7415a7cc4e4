//! Reads an entry's state over the state sync between entries.

use {
    eyre::{Result, bail},
    harness::{HttpClient, MESH_SECRET},
    http_types::Method,
    mesh::{Authenticator, Delta, SYNC_PATH, Summary, SyncRequest, SyncResponse},
    std::{net::SocketAddr, time::Duration},
    types::Incarnation,
    wire::{Call, CallTimeouts, from_msgpack, to_msgpack},
};

/// VM id that the runner sends its sync requests under.
const SENDER: &str = "vm-prover";
const SYNC_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_secs(1),
    body_idle: Duration::from_secs(1),
};

/// Fetches the whole state of the entry at `mesh`.
pub(super) fn fetch_entry_state(http: &HttpClient, mesh: SocketAddr) -> Result<Delta> {
    let request = SyncRequest {
        from: SENDER.parse()?,
        incarnation: Incarnation(0),
        have: Summary::default(),
        delta: Delta::default(),
        contact: None,
        headroom: Vec::new(),
    };
    let mut call = Call::new(mesh, Method::Post, SYNC_PATH)
        .body(to_msgpack(&request)?)
        .timeouts(SYNC_TIMEOUTS);
    Authenticator::new(vec![MESH_SECRET.into()]).sign(&mut call.request);
    let (reply, bytes) = http.send(call)?;
    if reply.status() != 200 {
        bail!("{mesh}: status {}", reply.status());
    }
    let response: SyncResponse = from_msgpack(&bytes)?;
    Ok(response.delta)
}
