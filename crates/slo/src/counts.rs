//! Counts of requests that met their targets and that missed them.

use serde::{Deserialize, Serialize};

/// Requests that met their targets, and that missed them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Met.
    pub met: u64,
    /// Missed.
    pub missed: u64,
}

impl TargetCounts {
    /// All requests.
    pub fn total(self) -> u64 {
        self.met.saturating_add(self.missed)
    }

    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.met = self.met.saturating_add(other.met);
        self.missed = self.missed.saturating_add(other.missed);
    }

    /// Share of requests that met their targets; 1 when there were none.
    pub fn attainment(self) -> f64 {
        match self.total() {
            0 => 1.0,
            total => self.met as f64 / total as f64,
        }
    }
}

/// Counts over the spans that alerts look at, each up to now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowedCounts {
    /// 5 units.
    pub short: TargetCounts,
    /// 30 units.
    pub middle: TargetCounts,
    /// 60 units.
    pub hour: TargetCounts,
    /// 360 units.
    pub long: TargetCounts,
}

impl WindowedCounts {
    /// Adds other counts, span by span.
    pub fn add(&mut self, other: &Self) {
        self.short.add(other.short);
        self.middle.add(other.middle);
        self.hour.add(other.hour);
        self.long.add(other.long);
    }
}
