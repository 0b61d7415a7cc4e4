//! A VM's share of the fixed part of a retry budget that all VMs of the fleet have together.

use {
    clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Smallest number of VMs that the reserve is divided by: others may not have been heard of.
const MIN_VMS: u32 = 8;
/// Time for which VMs count that are no longer heard of: they may be cut off, and spend their shares.
const MEMORY: Duration = Duration::from_secs(3_600);

/// The retries that a VM may spend beyond those that its requests earn.
///
/// A VM that starts doesn't know what its process before has spent, nor how many VMs there are, so it has none
/// for one window of the budget, unless the whole system starts for the first time.
#[derive(Debug, Clone)]
pub struct RetryReserve {
    /// Retries in a window, of all VMs together.
    reserve: f64,
    /// From when on it has a share.
    available: Instant,
    /// Numbers of VMs and when they were last heard of; the largest and earliest one first, each later one smaller.
    counts: VecDeque<(Instant, u32)>,
    rounding: f64,
}

impl RetryReserve {
    /// The share of a VM that starts now in the `reserve` of each `window`; `first_start` tells whether the whole system does for
    /// the first time. `rounding` is uniformly distributed in [0, 1): VMs
    /// round their numbers of retries up or down by it, so that small shares add up to the whole.
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

    /// Notes the number of live VMs, this one included; returns whether it is the largest in an hour.
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
