//! Messages between the collector of a zone and the entries of the zone.

use {
    crate::{Chunk, ChunkSource, WindowStart},
    serde::{Deserialize, Serialize},
    std::{future::Future, pin::Pin},
    types::{Incarnation, VmId},
};

/// URL path of the collection on an entry's mesh address.
pub const PULL_PATH: &str = "/mesh/usage";

/// Asks an entry for its chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Incarnation of the entry that the chunk numbers below refer to.
    pub incarnation: Option<Incarnation>,
    /// The collector has the chunks up to this number.
    pub have: u64,
    /// Chunks up to this number are sealed on the log.
    pub sealed: u64,
    /// Current window on the collector's clock.
    pub window: WindowStart,
}

/// The chunks of an entry that the collector lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullResponse {
    /// The entry.
    pub source: ChunkSource,
    /// Chunks up to this number are sealed, according to what collectors sent to the entry.
    pub sealed: u64,
    /// Chunks in order of their numbers.
    pub chunks: Vec<Chunk>,
}

/// Future of a pull; `None` when the entry did not respond.
pub type PullFuture<'a> = Pin<Box<dyn Future<Output = Option<PullResponse>> + Send + 'a>>;

/// Collects from the entries of a zone.
pub trait Collector: Send + Sync {
    /// Returns the VMs of the zone.
    fn vms(&self) -> Vec<VmId>;

    /// Pulls the chunks of the entry on a VM.
    fn pull(&self, vm: VmId, request: PullRequest) -> PullFuture<'_>;
}
