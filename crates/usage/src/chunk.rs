//! Numbered, immutable batches of an entry's counts.

use {
    crate::WindowStart,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    types::{Incarnation, OrgId, Tokens, VmId},
};

/// Requests and tokens of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Answered requests.
    pub requests: u64,
    /// Generated tokens.
    pub tokens: Tokens,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens += other.tokens;
    }
}

/// Identifies one incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChunkSource {
    /// VM of the entry.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Counts of an entry that no longer change. Source and number identify a chunk, so that one that
/// is sent twice counts once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number within the source, counted from 1 without gaps.
    pub seq: u64,
    /// Window that was current when the chunk was opened, at the previous collection.
    pub window: WindowStart,
    /// Counts by organisation.
    pub counts: BTreeMap<OrgId, Counts>,
}
