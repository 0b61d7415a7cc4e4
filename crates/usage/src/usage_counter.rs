//! Usage counts of one entry by organisation, closed into a chunk at each collection.

use {
    crate::{Chunk, ChunkSource, Counts, PullRequest, PullResponse, WindowStart},
    std::collections::{BTreeMap, VecDeque},
    types::{OrgId, Tokens},
};

/// Usage counts of one entry that are not sealed yet.
///
/// Memory is bounded by the organisations seen and the chunks since the last seal: open counts are
/// closed only by a collection, so without collections no chunks pile up.
#[derive(Debug)]
pub struct UsageCounter {
    source: ChunkSource,
    /// Window that was current at the last collection.
    window: Option<WindowStart>,
    open: BTreeMap<OrgId, Counts>,
    closed: VecDeque<Chunk>,
    last_seq: u64,
    /// Highest chunk number that a collector has.
    collected_through: u64,
    /// Highest chunk number that a collector found sealed on the log.
    sealed_through: u64,
    /// Whether a collector has pulled yet.
    collected: bool,
}

impl UsageCounter {
    /// Creates a counter without counts.
    pub fn new(source: ChunkSource) -> Self {
        Self {
            source,
            window: None,
            open: BTreeMap::new(),
            closed: VecDeque::new(),
            last_seq: 0,
            collected_through: 0,
            sealed_through: 0,
            collected: false,
        }
    }

    /// Counts one answered request.
    pub fn count(&mut self, org: &OrgId, tokens: Tokens) {
        let counts = Counts {
            requests: 1,
            tokens,
        };
        match self.open.get_mut(org) {
            Some(open) => open.add(counts),
            None => {
                self.open.insert(org.clone(), counts);
            }
        }
    }

    /// Handles a pull: closes the open counts and returns the chunks that the collector lacks.
    /// Drops the chunks that are sealed on the log.
    pub fn handle_pull(&mut self, request: &PullRequest) -> PullResponse {
        self.close(request.window);
        self.window = self.window.max(Some(request.window));
        let same_incarnation = request.incarnation == Some(self.source.incarnation);
        let (have, sealed) = if same_incarnation {
            (request.have, request.sealed)
        } else {
            (0, 0)
        };
        self.collected = true;
        self.collected_through = self.collected_through.max(have);
        self.sealed_through = self.sealed_through.max(sealed);
        let sealed = self.sealed_through;
        self.closed.retain(|c| c.seq > sealed);
        let missing = self.closed.iter().filter(|c| c.seq > have);
        PullResponse {
            source: self.source.clone(),
            sealed,
            chunks: missing.cloned().collect(),
        }
    }

    /// Whether a collector has everything that was counted, or no collector ever pulled.
    pub fn is_collected(&self) -> bool {
        !self.collected || (self.open.is_empty() && self.collected_through >= self.last_seq)
    }

    /// Closes the open counts into a chunk, if there are any.
    fn close(&mut self, now: WindowStart) {
        if self.open.is_empty() {
            return;
        }
        self.last_seq += 1;
        self.closed.push_back(Chunk {
            seq: self.last_seq,
            window: self.window.unwrap_or(now),
            counts: std::mem::take(&mut self.open),
        });
    }
}
