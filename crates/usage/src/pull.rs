//! Messages between the collector of a zone and the zone's entries.

use {
    crate::{Chunk, ChunkSource, WindowStart},
    serde::{Deserialize, Serialize},
    std::{future::Future, pin::Pin},
    types::{Incarnation, VmId},
};

/// Path of the collection on the entry's mesh address.
pub const PULL_PATH: &str = "/mesh/usage";

/// Asks an entry for its chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Start of the entry that the numbers below are about.
    pub incarnation: Option<Incarnation>,
    /// Chunks up to this number are held by the collector.
    pub have: u64,
    /// Chunks up to this number are sealed on the log.
    pub sealed: u64,
    /// The window that is current for the collector.
    pub window: WindowStart,
}

/// An entry's chunks beyond those that the collector has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullAnswer {
    /// The entry.
    pub source: ChunkSource,
    /// Chunks up to this number are sealed, as collectors told the entry.
    pub sealed: u64,
    /// Chunks in order.
    pub chunks: Vec<Chunk>,
}

/// A collection in the making; `None` when the entry did not answer.
pub type PullFuture<'a> = Pin<Box<dyn Future<Output = Option<PullAnswer>> + Send + 'a>>;

/// Collects from the entries of a zone.
pub trait Collector: Send + Sync {
    /// VMs of the zone.
    fn vms(&self) -> Vec<VmId>;

    /// Asks the entry of a VM.
    fn pull(&self, vm: VmId, request: PullRequest) -> PullFuture<'_>;
}
