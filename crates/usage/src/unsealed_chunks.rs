//! The collector's copies of chunks that are not sealed yet, and the seals built from them.

use {
    crate::{
        Chunk, ChunkSource, Counts, PullResponse, Seal, UsageState, Watermark, WindowId,
        WindowStart,
    },
    ports::UsageLine,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    types::{Epoch, OrgId, VmId, ZoneId},
};

/// Time for which the watermark of an entry whose VM is no longer listed is kept after its last
/// update, in milliseconds.
const WATERMARK_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Unsealed chunks of one source.
#[derive(Debug, Clone, Default)]
struct SourceChunks {
    /// Number of the last chunk that was accepted or is known to be sealed.
    last_seq: u64,
    chunks: VecDeque<Chunk>,
}

/// Copies of the unsealed chunks of a zone's entries.
#[derive(Debug, Clone, Default)]
pub struct UnsealedChunks {
    sources: BTreeMap<ChunkSource, SourceChunks>,
}

impl UnsealedChunks {
    /// Accepts the chunks of an entry's response; `sealed` is the number up to which the log has
    /// sealed the entry. Chunks that are known already or do not continue the sequence are ignored.
    pub fn accept(&mut self, response: PullResponse, sealed: u64) {
        let pending = self.sources.entry(response.source).or_default();
        pending.last_seq = pending.last_seq.max(sealed).max(response.sealed);
        for chunk in response.chunks {
            if chunk.seq == pending.last_seq + 1 {
                pending.last_seq = chunk.seq;
                pending.chunks.push_back(chunk);
            }
        }
    }

    /// Returns the newest incarnation of a VM's entry, and the number of its last known chunk.
    pub fn newest_source(&self, vm: &VmId) -> Option<(&ChunkSource, u64)> {
        let sources = self.sources.iter().filter(|(s, _)| s.vm == *vm);
        let (source, pending) = sources.max_by_key(|(s, _)| s.incarnation)?;
        Some((source, pending.last_seq))
    }

    /// Drops the chunks that are sealed on the log, and old incarnations without chunks.
    pub fn drop_sealed(&mut self, zone: &ZoneId, state: &UsageState) {
        for (source, pending) in &mut self.sources {
            let through = state.sealed_through(zone, source);
            pending.last_seq = pending.last_seq.max(through);
            pending.chunks.retain(|c| c.seq > through);
        }
        let newest: BTreeMap<VmId, ChunkSource> = self
            .sources
            .keys()
            .map(|s| (s.vm.clone(), s.clone()))
            .collect();
        self.sources
            .retain(|s, pending| !pending.chunks.is_empty() || newest.get(&s.vm) == Some(s));
    }

    /// Whether no chunk waits to be sealed.
    pub fn is_empty(&self) -> bool {
        self.sources.values().all(|c| c.chunks.is_empty())
    }

    /// Returns the number of requests in the unsealed chunks.
    pub fn requests(&self) -> u64 {
        let chunks = self.sources.values().flat_map(|c| &c.chunks);
        let counts = chunks.flat_map(|c| c.counts.values());
        counts.map(|c| c.requests).sum()
    }

    /// Returns the window to be sealed next: that of the oldest chunk, or the one after the last
    /// sealed window if that chunk is late.
    pub fn next_window(&self, last: Option<WindowStart>, length: Duration) -> Option<WindowStart> {
        let chunks = self.sources.values().flat_map(|c| &c.chunks);
        let oldest = chunks.map(|c| c.window).min()?;
        let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let after = last.map_or(0, |l| l.0.saturating_add(length));
        Some(WindowStart(oldest.0.max(after)))
    }

    /// Builds the seal of `window` from all unsealed chunks up to it. Keeps the watermarks of
    /// entries on VMs that are `listed`, however old: an entry may be unreachable for long and then
    /// offer sealed chunks again.
    pub fn seal(
        &self,
        window: WindowId,
        state: &UsageState,
        sender: VmId,
        epoch: Epoch,
        listed: &BTreeSet<VmId>,
    ) -> Seal {
        let mut watermarks: BTreeMap<ChunkSource, Watermark> = BTreeMap::new();
        for watermark in state.watermarks(&window.zone) {
            let recent = watermark.window.0.saturating_add(WATERMARK_RETENTION_MS) > window.start.0;
            if recent || listed.contains(&watermark.source.vm) {
                watermarks.insert(watermark.source.clone(), watermark.clone());
            }
        }
        let mut on_time: BTreeMap<OrgId, Counts> = BTreeMap::new();
        let mut late: BTreeMap<OrgId, Counts> = BTreeMap::new();
        for (source, pending) in &self.sources {
            let through = state.sealed_through(&window.zone, source);
            let unsealed = pending.chunks.iter().filter(|c| c.seq > through);
            for chunk in unsealed.take_while(|c| c.window <= window.start) {
                let lines = if chunk.window < window.start {
                    &mut late
                } else {
                    &mut on_time
                };
                for (org, counts) in &chunk.counts {
                    lines.entry(org.clone()).or_default().add(*counts);
                }
                let watermark = Watermark {
                    source: source.clone(),
                    through: chunk.seq,
                    window: window.start,
                };
                watermarks.insert(source.clone(), watermark);
            }
        }
        Seal {
            prev: state.last_seal(&window.zone),
            window,
            sender,
            epoch,
            watermarks: watermarks.into_values().collect(),
            lines: lines(on_time, false).chain(lines(late, true)).collect(),
        }
    }
}

fn lines(counts: BTreeMap<OrgId, Counts>, late: bool) -> impl Iterator<Item = UsageLine> {
    counts.into_iter().map(move |(org, counts)| UsageLine {
        org,
        requests: counts.requests,
        tokens: counts.tokens,
        late,
    })
}
