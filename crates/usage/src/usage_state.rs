//! Folds the usage stream: which windows are sealed with which figures, and which are reported.

use {
    crate::{ChunkSource, Seal, UsageRecord, Watermark, WindowId, WindowStart},
    std::collections::BTreeMap,
    types::{VmId, ZoneId},
};

/// What the fold made of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The record is the window's figure from now on.
    Sealed,
    /// The seal has no effect: another one came first.
    Ignored,
    /// The window's report is acknowledged.
    Reported,
    /// The record was read before, or is none of this stream's.
    Skipped,
}

/// A sealed window whose report is not acknowledged yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreportedWindow {
    /// Offset of the seal.
    pub offset: u64,
    /// The seal.
    pub seal: Seal,
}

/// A zone's chain of seals.
#[derive(Debug, Clone)]
struct Chain {
    last: u64,
    start: WindowStart,
    sender: VmId,
    marks: BTreeMap<ChunkSource, Watermark>,
    /// Whether the chain is known from its start, or goes on from a seal that was read.
    confirmed: bool,
}

/// The folded stream. What it says of a window never changes as more records are read.
#[derive(Debug, Clone, Default)]
pub struct UsageState {
    next: u64,
    /// Records before this offset were lost to retention.
    cut: u64,
    chains: BTreeMap<ZoneId, Chain>,
    open: BTreeMap<WindowId, UnreportedWindow>,
}

impl UsageState {
    /// Offset of the record to be read next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Goes on after a gap: records before `first` are no longer kept. Seals on either side of the gap
    /// cannot be told valid, so windows sealed before the first confirmed seal are not reported again.
    pub fn mark_lost(&mut self, first: u64) {
        *self = Self {
            next: first,
            cut: first,
            ..Self::default()
        };
    }

    /// Folds the record at `offset`.
    pub fn fold(&mut self, offset: u64, data: &str) -> FoldOutcome {
        if offset < self.next {
            return FoldOutcome::Skipped;
        }
        self.next = offset + 1;
        match serde_json::from_str(data) {
            Ok(UsageRecord::Seal(seal)) => self.seal(offset, seal),
            Ok(UsageRecord::Reported(window)) => {
                self.open.remove(&window);
                FoldOutcome::Reported
            }
            Err(_) => FoldOutcome::Skipped,
        }
    }

    fn seal(&mut self, offset: u64, seal: Seal) -> FoldOutcome {
        let chain = self.chains.get(&seal.window.zone);
        let follows =
            chain.is_some_and(|c| seal.prev == Some(c.last) && seal.window.start > c.start);
        let before_cut = seal.prev.is_some_and(|p| p < self.cut);
        let unknown = chain.is_none_or(|c| !c.confirmed);
        let starts = chain.is_none() && seal.prev.is_none();
        if !(follows || starts || before_cut && unknown) {
            return FoldOutcome::Ignored;
        }
        let marks = seal.marks.iter().map(|m| (m.source.clone(), m.clone()));
        let next = Chain {
            last: offset,
            start: seal.window.start,
            sender: seal.sender.clone(),
            marks: marks.collect(),
            confirmed: follows || starts,
        };
        let known = next.confirmed;
        self.chains.insert(seal.window.zone.clone(), next);
        if known && !seal.lines.is_empty() {
            self.open
                .insert(seal.window.clone(), UnreportedWindow { offset, seal });
        }
        FoldOutcome::Sealed
    }

    /// Offset of the zone's last seal.
    pub fn last_seal(&self, zone: &ZoneId) -> Option<u64> {
        self.chains.get(zone).map(|c| c.last)
    }

    /// Start of the zone's last sealed window.
    pub fn last_start(&self, zone: &ZoneId) -> Option<WindowStart> {
        self.chains.get(zone).map(|c| c.start)
    }

    /// Who sealed the zone's last window.
    pub fn last_sender(&self, zone: &ZoneId) -> Option<&VmId> {
        self.chains.get(zone).map(|c| &c.sender)
    }

    /// How far the zone's entries are sealed.
    pub fn watermarks(&self, zone: &ZoneId) -> impl Iterator<Item = &Watermark> {
        self.chains
            .get(zone)
            .into_iter()
            .flat_map(|c| c.marks.values())
    }

    /// Number of the last sealed chunk of an entry.
    pub fn sealed_through(&self, zone: &ZoneId, source: &ChunkSource) -> u64 {
        let mark = self.chains.get(zone).and_then(|c| c.marks.get(source));
        mark.map_or(0, |m| m.through)
    }

    /// Sealed windows of a zone that are not acknowledged, oldest first.
    pub fn unreported(&self, zone: &ZoneId) -> impl Iterator<Item = &UnreportedWindow> {
        self.open
            .values()
            .filter(move |s| s.seal.window.zone == *zone)
    }
}
