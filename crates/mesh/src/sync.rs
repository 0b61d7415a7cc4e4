//! Messages of the exchange that keeps VMs at the same state.

use {
    super::{Delta, Headroom, Summary},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::{Incarnation, KeyDigest, VmId},
};

/// Path of the exchange.
pub const SYNC_PATH: &str = "/mesh/sync";

/// Path by which an operator withdraws a key without the log.
pub const REVOKE_PATH: &str = "/mesh/revoke";

/// Withdraws a key at once; it spreads from VM to VM and is put on the log when that can be reached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Digest of the key.
    pub key: KeyDigest,
}

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
    /// Time since any VM is known to have read the platform's log.
    #[serde(default)]
    pub contact: Option<Duration>,
    /// Free slots by availability zone and model.
    #[serde(default)]
    pub headroom: Vec<Headroom>,
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
    /// Time since any VM is known to have read the platform's log.
    #[serde(default)]
    pub contact: Option<Duration>,
    /// Free slots by availability zone and model.
    #[serde(default)]
    pub headroom: Vec<Headroom>,
}
