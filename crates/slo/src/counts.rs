//! Counts of requests that met or missed their targets.

use serde::{Deserialize, Serialize};

/// Numbers of requests that met and that missed their targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Requests that met the targets.
    pub met: u64,
    /// Requests that missed the targets.
    pub missed: u64,
}

impl TargetCounts {
    /// Returns the number of all requests.
    pub fn total(self) -> u64 {
        self.met.saturating_add(self.missed)
    }

    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.met = self.met.saturating_add(other.met);
        self.missed = self.missed.saturating_add(other.missed);
    }

    /// Returns the fraction of requests that met their targets; 1 when there were none.
    pub fn attainment(self) -> f64 {
        match self.total() {
            0 => 1.0,
            total => self.met as f64 / total as f64,
        }
    }
}

/// Counts over each of the windows of the alert rules.
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
    /// Adds other counts, window by window.
    pub fn add(&mut self, other: &Self) {
        self.short.add(other.short);
        self.middle.add(other.middle);
        self.hour.add(other.hour);
        self.long.add(other.long);
    }
}
