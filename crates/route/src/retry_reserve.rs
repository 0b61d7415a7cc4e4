//! A VM's share of the fleet-wide fixed part of a retry budget.

use {
    clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Smallest number of VMs that the reserve is divided by: a VM that is partitioned from its start on has discovered no other.
const MIN_VMS: u32 = 8;
/// Time for which VMs count after they were last seen: behind a partition they go on spending their shares.
const MEMORY: Duration = Duration::from_secs(3_600);

/// The retries that a VM may spend beyond those that its requests earn.
///
/// A VM that restarts doesn't know what the previous process has spent, so its share is zero for the first window, unless the
/// system starts for the first time.
#[derive(Debug, Clone)]
pub struct RetryReserve {
    /// Retries in a window, of all VMs together.
    reserve: f64,
    /// When its share becomes available.
    available: Instant,
    /// Sliding-window maximum of the number of VMs: observation times, with decreasing numbers.
    counts: VecDeque<(Instant, u32)>,
    rounding: f64,
}

impl RetryReserve {
    /// The share of a VM that starts now in the `reserve` of each `window`. `first_start`: the system starts for the first time.
    /// `rounding` is uniformly distributed in [0, 1), so that the fractional shares of many VMs add up.
    pub fn new(
        now: Instant,
        (reserve, window): (f64, Duration),
        first_start: bool,
        rounding: f64,
    ) -> Self {
        Self {
            reserve,
            available: if first_start { now } else { now + window },
            counts: VecDeque::new(),
            rounding,
        }
    }

    /// Records the number of live VMs, this one included; returns whether the number that share the reserve has changed.
    pub fn note_vms(&mut self, now: Instant, vms: u32) -> bool {
        let last = self.vms();
        self.counts.retain(|(at, _)| now.since(*at) < MEMORY);
        while self.counts.back().is_some_and(|(_, known)| *known <= vms) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, vms));
        self.vms() != last
    }

    /// The number of VMs that share the reserve.
    pub fn vms(&self) -> u32 {
        let largest = self.counts.front().map_or(0, |(_, vms)| *vms);
        largest.max(MIN_VMS)
    }

    /// What is added to this VM's number of retries before it is rounded down.
    pub fn rounding(&self) -> f64 {
        self.rounding
    }

    /// The retries of this VM in a window.
    pub fn share(&self, now: Instant) -> f64 {
        if now < self.available {
            return 0.0;
        }
        self.reserve / f64::from(self.vms())
    }
}
