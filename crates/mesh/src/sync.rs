//! Messages of the anti-entropy exchange that replicates state between VMs.

use {
    super::{Delta, Headroom, Summary},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::{Incarnation, KeyDigest, VmId},
};

/// Path of the state exchange.
pub const SYNC_PATH: &str = "/mesh/sync";

/// Path on which an operator withdraws a key while the platform's log is unreachable.
pub const REVOKE_PATH: &str = "/mesh/revoke";

/// Withdraws a key at once. The withdrawal is replicated from VM to VM, and appended to the
/// platform's log when that can be reached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Digest of the key.
    pub key: KeyDigest,
}

/// Summary of the sender's state, and the changes that the receiver is known to lack.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Sender.
    pub from: VmId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Summary of the sender's state.
    pub have: Summary,
    /// Changes since the summary that the receiver last sent.
    #[serde(default)]
    pub delta: Delta,
    /// Time since any VM is known to have read the platform's log.
    #[serde(default)]
    pub contact: Option<Duration>,
    /// Free slots by availability zone and model.
    #[serde(default)]
    pub headroom: Vec<Headroom>,
}

/// Summary of the receiver's state, and the changes that the sender lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// Responding VM.
    pub from: VmId,
    /// Incarnation of the responding process.
    pub incarnation: Incarnation,
    /// Summary of the responding VM's state, after it applied the request's delta.
    pub have: Summary,
    /// Changes that the sender lacks.
    #[serde(default)]
    pub delta: Delta,
    /// Time since any VM is known to have read the platform's log.
    #[serde(default)]
    pub contact: Option<Duration>,
    /// Free slots by availability zone and model.
    #[serde(default)]
    pub headroom: Vec<Headroom>,
}
