//! Rolling counts over recent time, in a fixed number of buckets.

use crate::{TargetCounts, WindowedCounts};

/// Units of the four windows: 5 min, 30 min, 1 h and 6 h if a unit is a minute.
const SHORT: u64 = 5;
const MIDDLE: u64 = 30;
const HOUR: u64 = 60;
const LONG: u64 = 360;
/// Units per bucket of the coarse ring.
const COARSE_UNITS: u64 = 10;

/// One of the windows over which burn rates are computed.
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
    /// Returns the length in units.
    pub fn units(self) -> u64 {
        match self {
            Self::Short => SHORT,
            Self::Middle => MIDDLE,
            Self::Hour => HOUR,
            Self::Long => LONG,
        }
    }
}

/// Counts over one bucket of time.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    met: u32,
    missed: u32,
}

/// Ring buffer of the newest `N` buckets.
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

    /// Advances to `now` and clears the buckets that are reused.
    fn advance(&mut self, now: u64) {
        let steps = now.saturating_sub(self.newest).min(N as u64);
        for step in 0..steps {
            self.buckets[bucket_index::<N>(now - step)] = Bucket::default();
        }
        self.newest = self.newest.max(now);
    }

    fn add(&mut self, now: u64, met: bool) {
        self.advance(now);
        let bucket = &mut self.buckets[bucket_index::<N>(self.newest)];
        let count = if met {
            &mut bucket.met
        } else {
            &mut bucket.missed
        };
        *count = count.saturating_add(1);
    }

    /// Returns the sum over the current bucket and the `full_buckets` before it.
    fn sum(&self, full_buckets: u64) -> TargetCounts {
        let mut sum = TargetCounts::default();
        let count = (full_buckets + 1).min(N as u64).min(self.newest + 1);
        for age in 0..count {
            let bucket = self.buckets[bucket_index::<N>(self.newest - age)];
            sum.add(TargetCounts {
                met: bucket.met.into(),
                missed: bucket.missed.into(),
            });
        }
        sum
    }
}

fn bucket_index<const N: usize>(time: u64) -> usize {
    usize::try_from(time % N as u64).unwrap_or_default()
}

/// Counts over the last 360 units: a fine ring for windows up to 60 units, a coarse ring for the
/// long window.
#[derive(Debug, Clone)]
pub(crate) struct RollingCounts {
    /// 60 full buckets and the current one.
    fine: Ring<61>,
    /// 36 full buckets of 10 units and the current one.
    coarse: Ring<37>,
}

impl RollingCounts {
    /// Creates empty counts at `unit`, in units since the start.
    pub(crate) fn new(unit: u64) -> Self {
        Self {
            fine: Ring::new(unit),
            coarse: Ring::new(unit / COARSE_UNITS),
        }
    }

    /// Counts one request.
    pub(crate) fn add(&mut self, unit: u64, met: bool) {
        self.fine.add(unit, met);
        self.coarse.add(unit / COARSE_UNITS, met);
    }

    /// Returns the counts over all windows up to `unit`.
    pub(crate) fn windows(&mut self, unit: u64) -> WindowedCounts {
        self.fine.advance(unit);
        self.coarse.advance(unit / COARSE_UNITS);
        WindowedCounts {
            short: self.fine.sum(SHORT),
            middle: self.fine.sum(MIDDLE),
            hour: self.fine.sum(HOUR),
            long: self.coarse.sum(LONG / COARSE_UNITS),
        }
    }
}
