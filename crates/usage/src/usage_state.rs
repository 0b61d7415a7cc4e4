//! State derived from the usage stream: which windows are sealed with which figures, and which are
//! reported.

use {
    crate::{ChunkSource, Seal, UsageRecord, Watermark, WindowId, WindowStart},
    std::collections::BTreeMap,
    types::{VmId, ZoneId},
};

/// Effect of a record on the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The record sealed its window.
    Sealed,
    /// The seal has no effect, since it is not valid: another one came first.
    Ignored,
    /// The window's report is acknowledged.
    Reported,
    /// The record was read before, or cannot be decoded.
    Skipped,
}

/// A sealed window whose report is not acknowledged yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreportedWindow {
    /// Offset of the seal.
    pub offset: u64,
    /// The seal with the figures.
    pub seal: Seal,
}

/// The newest seal of a zone; each seal refers to the one before.
#[derive(Debug, Clone)]
struct SealChain {
    last_seal: u64,
    start: WindowStart,
    sender: VmId,
    watermarks: BTreeMap<ChunkSource, Watermark>,
    /// Whether the newest seal is the zone's first one, or the one before it was read.
    confirmed: bool,
}

/// State of the usage stream. What it shows of a sealed window never changes as more records are
/// read.
#[derive(Debug, Clone, Default)]
pub struct UsageState {
    next_offset: u64,
    /// Records below this offset were lost to retention.
    lost_below: u64,
    chains: BTreeMap<ZoneId, SealChain>,
    unreported: BTreeMap<WindowId, UnreportedWindow>,
}

impl UsageState {
    /// Returns the offset of the record to be read next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Handles the loss of the records below `first`. Seals next to the gap cannot be confirmed as
    /// valid, so windows sealed before the first confirmed seal are not reported again.
    pub fn mark_lost(&mut self, first: u64) {
        *self = Self {
            next_offset: first,
            lost_below: first,
            ..Self::default()
        };
    }

    /// Applies the record at `offset`.
    pub fn fold(&mut self, offset: u64, data: &str) -> FoldOutcome {
        if offset < self.next_offset {
            return FoldOutcome::Skipped;
        }
        self.next_offset = offset + 1;
        match serde_json::from_str(data) {
            Ok(UsageRecord::Seal(seal)) => self.seal(offset, seal),
            Ok(UsageRecord::Reported(window)) => {
                self.unreported.remove(&window);
                FoldOutcome::Reported
            }
            Err(e) => {
                log::error!(offset = offset, error:% = e; "cannot decode a usage record");
                FoldOutcome::Skipped
            }
        }
    }

    fn seal(&mut self, offset: u64, seal: Seal) -> FoldOutcome {
        let chain = self.chains.get(&seal.window.zone);
        let follows =
            chain.is_some_and(|c| seal.prev == Some(c.last_seal) && seal.window.start > c.start);
        let after_gap = seal.prev.is_some_and(|p| p < self.lost_below);
        let unknown = chain.is_none_or(|c| !c.confirmed);
        let starts = chain.is_none() && seal.prev.is_none();
        if !(follows || starts || after_gap && unknown) {
            return FoldOutcome::Ignored;
        }
        let watermarks = seal
            .watermarks
            .iter()
            .map(|m| (m.source.clone(), m.clone()));
        let next = SealChain {
            last_seal: offset,
            start: seal.window.start,
            sender: seal.sender.clone(),
            watermarks: watermarks.collect(),
            confirmed: follows || starts,
        };
        let confirmed = next.confirmed;
        self.chains.insert(seal.window.zone.clone(), next);
        if confirmed && !seal.lines.is_empty() {
            self.unreported
                .insert(seal.window.clone(), UnreportedWindow { offset, seal });
        }
        FoldOutcome::Sealed
    }

    /// Returns the offset of the zone's last seal.
    pub fn last_seal(&self, zone: &ZoneId) -> Option<u64> {
        self.chains.get(zone).map(|c| c.last_seal)
    }

    /// Returns the start of the zone's last sealed window.
    pub fn last_start(&self, zone: &ZoneId) -> Option<WindowStart> {
        self.chains.get(zone).map(|c| c.start)
    }

    /// Returns the VM that sealed the zone's last window.
    pub fn last_sender(&self, zone: &ZoneId) -> Option<&VmId> {
        self.chains.get(zone).map(|c| &c.sender)
    }

    /// Returns the watermarks of the zone's entries.
    pub fn watermarks(&self, zone: &ZoneId) -> impl Iterator<Item = &Watermark> {
        self.chains
            .get(zone)
            .into_iter()
            .flat_map(|c| c.watermarks.values())
    }

    /// Returns the number of the last sealed chunk of an entry, 0 for none.
    pub fn sealed_through(&self, zone: &ZoneId, source: &ChunkSource) -> u64 {
        let watermark = self.chains.get(zone).and_then(|c| c.watermarks.get(source));
        watermark.map_or(0, |w| w.through)
    }

    /// Returns the sealed windows of a zone whose reports are not acknowledged, oldest first.
    pub fn unreported(&self, zone: &ZoneId) -> impl Iterator<Item = &UnreportedWindow> {
        self.unreported
            .values()
            .filter(move |w| w.seal.window.zone == *zone)
    }
}
