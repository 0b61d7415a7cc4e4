//! Counts over the last while, in a fixed number of buckets.

use crate::{TargetCounts, WindowedCounts};

/// Units of the four spans: 5 min, 30 min, 1 h and 6 h when a unit is a minute.
const SHORT: u64 = 5;
const MIDDLE: u64 = 30;
const HOUR: u64 = 60;
const LONG: u64 = 360;
/// Units of a bucket of the coarse ring.
const COARSE: u64 = 10;

/// One of the spans that counts are kept over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BurnWindow {
    /// 5 units.
    Short,
    /// 30 units.
    Middle,
    /// 60 units.
    Hour,
    /// 360 units.
    Long,
}

impl BurnWindow {
    /// Length in units.
    pub fn units(self) -> u64 {
        match self {
            Self::Short => SHORT,
            Self::Middle => MIDDLE,
            Self::Hour => HOUR,
            Self::Long => LONG,
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    met: u32,
    missed: u32,
}

/// Buckets for the current time and those before it.
#[derive(Debug, Clone)]
struct Ring<const N: usize> {
    buckets: Box<[Bucket; N]>,
    newest: u64,
}

impl<const N: usize> Ring<N> {
    fn new(now: u64) -> Self {
        Self {
            buckets: Box::new([Bucket::default(); N]),
            newest: now,
        }
    }

    /// Clears the buckets whose time has come round again.
    fn turn(&mut self, now: u64) {
        let steps = now.saturating_sub(self.newest).min(N as u64);
        for step in 0..steps {
            self.buckets[slot::<N>(now - step)] = Bucket::default();
        }
        self.newest = self.newest.max(now);
    }

    fn add(&mut self, now: u64, met: bool) {
        self.turn(now);
        let bucket = &mut self.buckets[slot::<N>(self.newest)];
        let count = if met {
            &mut bucket.met
        } else {
            &mut bucket.missed
        };
        *count = count.saturating_add(1);
    }

    /// Sum over the current bucket and `whole` buckets before it.
    fn sum(&self, whole: u64) -> TargetCounts {
        let mut sum = TargetCounts::default();
        let count = (whole + 1).min(N as u64).min(self.newest + 1);
        for back in 0..count {
            let bucket = self.buckets[slot::<N>(self.newest - back)];
            sum.add(TargetCounts {
                met: bucket.met.into(),
                missed: bucket.missed.into(),
            });
        }
        sum
    }
}

fn slot<const N: usize>(at: u64) -> usize {
    usize::try_from(at % N as u64).unwrap_or_default()
}

/// Counts of the last 360 units, in one fine ring for an hour and one coarse ring for the rest.
#[derive(Debug, Clone)]
pub(crate) struct Rolling {
    fine: Ring<61>,
    coarse: Ring<37>,
}

impl Rolling {
    /// Empty counts at `unit`, units since the start.
    pub(crate) fn new(unit: u64) -> Self {
        Self {
            fine: Ring::new(unit),
            coarse: Ring::new(unit / COARSE),
        }
    }

    /// Counts one request.
    pub(crate) fn add(&mut self, unit: u64, met: bool) {
        self.fine.add(unit, met);
        self.coarse.add(unit / COARSE, met);
    }

    /// Counts over all spans.
    pub(crate) fn spans(&mut self, unit: u64) -> WindowedCounts {
        self.fine.turn(unit);
        self.coarse.turn(unit / COARSE);
        WindowedCounts {
            short: self.fine.sum(SHORT),
            middle: self.fine.sum(MIDDLE),
            hour: self.fine.sum(HOUR),
            long: self.coarse.sum(LONG / COARSE),
        }
    }
}
