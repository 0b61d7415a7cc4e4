//! The time of day, also while the machine's clock is stepped.

use {
    clock::{Clock, Stamp},
    std::{
        sync::atomic::{AtomicI64, AtomicU32, Ordering::SeqCst},
        time::Duration,
    },
};

/// Comparisons in a row that must agree on a step: a VM that was suspended first hears what was sent in
/// the meantime.
const AGREEING: u32 = 5;
/// Difference to the other VMs from which the own clock counts as stepped, in milliseconds; ordinary
/// clocks of the fleet differ by less.
const STEPPED_MS: i64 = 250;

/// The time of day as read at the start and carried on by the steady clock; corrected by the median of
/// the other VMs where the start fell into a step.
#[derive(Debug)]
pub(crate) struct WallClock {
    start: Stamp,
    unix: Duration,
    /// Milliseconds to add.
    offset: AtomicI64,
    /// Comparisons in a row that spoke for another offset.
    agreeing: AtomicU32,
}

impl WallClock {
    pub(crate) fn new(clock: &dyn Clock) -> Self {
        Self {
            start: clock.now(),
            unix: clock.unix(),
            offset: AtomicI64::new(0),
            agreeing: AtomicU32::new(0),
        }
    }

    /// Time since 1970 as this VM alone knows it, for the others to compare.
    pub(crate) fn own(&self, now: Stamp) -> Duration {
        self.unix + now.since(self.start)
    }

    /// Best estimate of the time since 1970.
    pub(crate) fn unix(&self, now: Stamp) -> Duration {
        let own = self.own(now);
        let offset = self.offset.load(SeqCst);
        let span = Duration::from_millis(offset.unsigned_abs());
        if offset < 0 {
            own.saturating_sub(span)
        } else {
            own + span
        }
    }

    /// Takes in how far the others are ahead, in milliseconds; returns a new correction.
    pub(crate) fn compare(&self, mut ahead: Vec<i64>) -> Option<i64> {
        ahead.push(0);
        ahead.sort_unstable();
        let median = ahead[ahead.len() / 2];
        let offset = if median.abs() >= STEPPED_MS {
            median
        } else {
            0
        };
        let old = self.offset.load(SeqCst);
        if (old - offset).abs() < STEPPED_MS {
            self.agreeing.store(0, SeqCst);
            return None;
        }
        if self.agreeing.fetch_add(1, SeqCst) + 1 < AGREEING {
            return None;
        }
        self.agreeing.store(0, SeqCst);
        self.offset.store(offset, SeqCst);
        Some(offset)
    }
}
