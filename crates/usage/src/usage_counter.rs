//! The entry's side: counts by organisation, closed into chunks whenever they are collected.

use {
    crate::{Chunk, ChunkSource, Counts, PullAnswer, PullRequest, WindowStart},
    std::collections::{BTreeMap, VecDeque},
    types::{OrgId, Tokens},
};

/// Counts of one entry since its start, without those that are sealed.
///
/// Memory is bounded by the organisations seen and the chunks since the last seal: without collection
/// the open counts are not closed, so that they do not grow with time.
#[derive(Debug)]
pub struct UsageCounter {
    source: ChunkSource,
    /// Window that was current at the last collection.
    window: Option<WindowStart>,
    open: BTreeMap<OrgId, Counts>,
    closed: VecDeque<Chunk>,
    last: u64,
    /// Highest number that a collector said it holds.
    held: u64,
    /// Highest number that a collector found sealed on the log.
    sealed: u64,
    /// Whether anyone has collected yet.
    pulled: bool,
}

impl UsageCounter {
    /// An empty ledger.
    pub fn new(source: ChunkSource) -> Self {
        Self {
            source,
            window: None,
            open: BTreeMap::new(),
            closed: VecDeque::new(),
            last: 0,
            held: 0,
            sealed: 0,
            pulled: false,
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

    /// Answers a collector: closes the open counts and gives the chunks that it lacks. Chunks that the
    /// log has sealed are dropped.
    pub fn answer(&mut self, request: &PullRequest) -> PullAnswer {
        self.close(request.window);
        self.window = self.window.max(Some(request.window));
        let known = request.incarnation == Some(self.source.incarnation);
        let (have, sealed) = if known {
            (request.have, request.sealed)
        } else {
            (0, 0)
        };
        self.pulled = true;
        self.held = self.held.max(have);
        self.sealed = self.sealed.max(sealed);
        let sealed = self.sealed;
        self.closed.retain(|c| c.seq > sealed);
        let lacking = self.closed.iter().filter(|c| c.seq > have);
        PullAnswer {
            source: self.source.clone(),
            sealed,
            chunks: lacking.cloned().collect(),
        }
    }

    /// Whether a collector holds everything that was counted, or nobody collects.
    pub fn is_collected(&self) -> bool {
        !self.pulled || (self.open.is_empty() && self.held >= self.last)
    }

    fn close(&mut self, now: WindowStart) {
        if self.open.is_empty() {
            return;
        }
        self.last += 1;
        self.closed.push_back(Chunk {
            seq: self.last,
            window: self.window.unwrap_or(now),
            counts: std::mem::take(&mut self.open),
        });
    }
}
