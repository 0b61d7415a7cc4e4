//! The collector's copies of the entries' chunks, and the seals made of them.

use {
    crate::{
        Chunk, ChunkSource, Counts, PullAnswer, Seal, UsageState, Watermark, WindowId, WindowStart,
    },
    ports::UsageLine,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    types::{Epoch, OrgId, VmId, ZoneId},
};

/// Time for which the mark of an entry that is gone is kept after it last moved, in milliseconds.
const MARK_KEPT_MS: u64 = 24 * 3600 * 1000;

#[derive(Debug, Clone, Default)]
struct Copies {
    /// Number of the last chunk that was taken in.
    last: u64,
    chunks: VecDeque<Chunk>,
}

/// Copies of the chunks of a zone's entries that are not sealed yet.
#[derive(Debug, Clone, Default)]
pub struct UnsealedChunks {
    sources: BTreeMap<ChunkSource, Copies>,
}

impl UnsealedChunks {
    /// Takes in an entry's answer; `sealed` is how far the log has sealed it. A chunk that is held
    /// already, or does not follow on, is left out.
    pub fn take(&mut self, answer: PullAnswer, sealed: u64) {
        let held = self.sources.entry(answer.source).or_default();
        held.last = held.last.max(sealed).max(answer.sealed);
        for chunk in answer.chunks {
            if chunk.seq == held.last + 1 {
                held.last = chunk.seq;
                held.chunks.push_back(chunk);
            }
        }
    }

    /// Newest start of a VM's entry, and the number of the last chunk held of it.
    pub fn newest_source(&self, vm: &VmId) -> Option<(&ChunkSource, u64)> {
        let sources = self.sources.iter().filter(|(s, _)| s.vm == *vm);
        let (source, copies) = sources.max_by_key(|(s, _)| s.incarnation)?;
        Some((source, copies.last))
    }

    /// Drops the chunks that are sealed on the log.
    pub fn drop_sealed(&mut self, zone: &ZoneId, windows: &UsageState) {
        for (source, copies) in &mut self.sources {
            let through = windows.sealed_through(zone, source);
            copies.last = copies.last.max(through);
            copies.chunks.retain(|c| c.seq > through);
        }
        let newest: BTreeMap<VmId, ChunkSource> = self
            .sources
            .keys()
            .map(|s| (s.vm.clone(), s.clone()))
            .collect();
        self.sources
            .retain(|s, copies| !copies.chunks.is_empty() || newest.get(&s.vm) == Some(s));
    }

    /// Whether any chunk waits to be sealed.
    pub fn is_empty(&self) -> bool {
        self.sources.values().all(|c| c.chunks.is_empty())
    }

    /// Requests counted in the held chunks.
    pub fn requests(&self) -> u64 {
        let chunks = self.sources.values().flat_map(|c| &c.chunks);
        let counts = chunks.flat_map(|c| c.counts.values());
        counts.map(|c| c.requests).sum()
    }

    /// Start of the window to be sealed next: that of the oldest chunk, or the one after the last
    /// sealed window when the chunk is late.
    pub fn next_window(&self, last: Option<WindowStart>, length: Duration) -> Option<WindowStart> {
        let chunks = self.sources.values().flat_map(|c| &c.chunks);
        let oldest = chunks.map(|c| c.window).min()?;
        let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let after = last.map_or(0, |l| l.0.saturating_add(length));
        Some(WindowStart(oldest.0.max(after)))
    }

    /// The seal of `window` over all held chunks up to it. Marks of entries on VMs that are `listed`
    /// are kept, since an entry may be cut off for long and then offer sealed chunks again.
    pub fn seal(
        &self,
        window: WindowId,
        windows: &UsageState,
        sender: VmId,
        epoch: Epoch,
        listed: &BTreeSet<VmId>,
    ) -> Seal {
        let mut marks: BTreeMap<ChunkSource, Watermark> = BTreeMap::new();
        for mark in windows.watermarks(&window.zone) {
            let recent = mark.window.0.saturating_add(MARK_KEPT_MS) > window.start.0;
            if recent || listed.contains(&mark.source.vm) {
                marks.insert(mark.source.clone(), mark.clone());
            }
        }
        let mut own: BTreeMap<OrgId, Counts> = BTreeMap::new();
        let mut late: BTreeMap<OrgId, Counts> = BTreeMap::new();
        for (source, copies) in &self.sources {
            let through = windows.sealed_through(&window.zone, source);
            let fresh = copies.chunks.iter().filter(|c| c.seq > through);
            for chunk in fresh.take_while(|c| c.window <= window.start) {
                let lines = if chunk.window < window.start {
                    &mut late
                } else {
                    &mut own
                };
                for (org, counts) in &chunk.counts {
                    lines.entry(org.clone()).or_default().add(*counts);
                }
                let mark = Watermark {
                    source: source.clone(),
                    through: chunk.seq,
                    window: window.start,
                };
                marks.insert(source.clone(), mark);
            }
        }
        Seal {
            prev: windows.last_seal(&window.zone),
            window,
            sender,
            epoch,
            marks: marks.into_values().collect(),
            lines: lines(own, false).chain(lines(late, true)).collect(),
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
