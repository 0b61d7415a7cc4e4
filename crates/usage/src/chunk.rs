//! Counts of one entry over a short time, closed for good and numbered.

use {
    crate::WindowStart,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    types::{Incarnation, OrgId, Tokens, VmId},
};

/// Requests and tokens of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests answered.
    pub requests: u64,
    /// Tokens generated.
    pub tokens: Tokens,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens += other.tokens;
    }
}

/// One start of one entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChunkSource {
    /// VM of the entry.
    pub vm: VmId,
    /// Start of its process.
    pub incarnation: Incarnation,
}

/// Counts of an entry that no longer change. Its source and number identify it, so that a chunk
/// which is sent twice counts once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number within the source, from 1 on without gaps.
    pub seq: u64,
    /// Window that was current when the chunk was opened.
    pub window: WindowStart,
    /// Counts by organisation.
    pub counts: BTreeMap<OrgId, Counts>,
}
