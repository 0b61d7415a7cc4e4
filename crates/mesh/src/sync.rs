//! Messages of the exchange that keeps VMs at the same state.

use {
    super::{Delta, Summary},
    serde::{Deserialize, Serialize},
    types::{Incarnation, VmId},
};

/// Path of the exchange.
pub const SYNC_PATH: &str = "/mesh/sync";

/// What a VM has, and what it knows the peer to lack.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Sender.
    pub from: VmId,
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// What the sender has.
    pub have: Summary,
    /// What the receiver lacked when it last answered.
    #[serde(default)]
    pub delta: Delta,
}

/// What the receiver has, and what the sender lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncAnswer {
    /// Answering VM.
    pub from: VmId,
    /// Start of the answering process.
    pub incarnation: Incarnation,
    /// What the answering VM has, after taking in the request.
    pub have: Summary,
    /// What the sender lacks.
    #[serde(default)]
    pub delta: Delta,
}
