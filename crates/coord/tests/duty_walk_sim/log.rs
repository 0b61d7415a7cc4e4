//! The log of the platform's store.

use super::wire::{AppendAnswer, ReadAnswer, Records};

/// Largest number of records in the answer to a read.
const MAX_RECORDS: usize = 64;

struct Record {
    bytes: Vec<u8>,
    at_ms: u64,
}

/// A log with conditional appends, expiry, and restores from an older copy of it.
pub(crate) struct Log {
    pub(crate) era: u64,
    /// All records since the start of the simulation, the expired ones included.
    records: Vec<Record>,
    /// Offset of `records[0]`.
    base: u64,
    /// Times at which the oldest retained offset changed, and the offset.
    firsts: Vec<(u64, u64)>,
}

impl Log {
    /// A log whose records before `base` have expired.
    pub(crate) fn new(era: u64, base: u64) -> Self {
        Self {
            era,
            records: Vec::new(),
            base,
            firsts: vec![(0, base)],
        }
    }

    pub(crate) fn end(&self) -> u64 {
        self.base + self.records.len() as u64
    }

    fn first(&self) -> u64 {
        self.firsts.last().map_or(self.base, |(_, first)| *first)
    }

    /// Appends a record if the log ends at `at`.
    pub(crate) fn append(&mut self, now: u64, at: u64, bytes: Vec<u8>) -> AppendAnswer {
        let is_end = at == self.end();
        if is_end {
            self.records.push(Record { bytes, at_ms: now });
        }
        AppendAnswer {
            era: self.era,
            end: self.end(),
            offset: is_end.then_some(at),
        }
    }

    pub(crate) fn read(&self, from: u64) -> ReadAnswer {
        if from < self.first() || from > self.end() {
            return ReadAnswer::Missing(self.first());
        }
        let skipped = (from - self.base) as usize;
        let items = self.records[skipped..].iter().take(MAX_RECORDS);
        ReadAnswer::Records(Records {
            era: self.era,
            end: self.end(),
            from,
            items: items.map(|r| r.bytes.clone()).collect(),
        })
    }

    /// Drops the records that are older than `keep` ms; all of them if it is 0.
    pub(crate) fn expire(&mut self, now: u64, keep: u64) {
        let limit = now.saturating_sub(keep);
        let kept = self.records.partition_point(|r| r.at_ms <= limit);
        let first = self.base + kept as u64;
        if first > self.first() {
            self.firsts.push((now, first));
        }
    }

    /// Restores the log's content of `lost` ms ago, and starts a new era.
    pub(crate) fn restore(&mut self, now: u64, lost: u64) {
        let copied = now.saturating_sub(lost);
        self.era += 1;
        self.records.retain(|r| r.at_ms <= copied);
        self.firsts.retain(|(at, _)| *at <= copied);
    }
}
