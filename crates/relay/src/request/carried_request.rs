//! A request that one VM takes to an endpoint for another.
//!
//! The VM that took the request from its caller decides everything: the endpoint, retries, limits and
//! usage. The carrier only sends it on, over its own connections and as far as the endpoint takes requests
//! of the carrier, and never passes it to a third VM.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    types::{AttemptId, EndpointId, ServiceId, VmId},
};

/// Path of the call that carries a request.
pub(crate) const CARRY_PATH: &str = "/carry";
/// Field of a response: why the request was not sent to its endpoint.
pub(super) const CARRY_REFUSAL: &str = "Carry-Refusal";
/// Field of a response: why the request that was sent has no answer.
pub(super) const CARRY_LOSS: &str = "Carry-Loss";

/// A request to be carried.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CarriedRequest {
    /// The VM that sends it.
    pub(super) vm: VmId,
    pub(super) service: ServiceId,
    pub(super) endpoint: EndpointId,
    /// Start time of the endpoint.
    pub(super) born: u64,
    /// The caller's attempt.
    pub(super) attempt: AttemptId,
    /// Whether the endpoint must say that it is the listed process.
    pub(super) proven: bool,
    /// Time in which the caller expects the response, in milliseconds.
    pub(super) timeout_ms: u64,
    pub(super) method: CompactString,
    /// The request as the endpoint gets it; empty to find out whether the endpoint accepts connections.
    #[serde(with = "serde_bytes")]
    pub(super) bytes: Vec<u8>,
}
