//! The time of day, also while the machine's clock is stepped.

use {
    clock::{Clock, Stamp},
    std::{
        sync::atomic::{AtomicI64, AtomicU32, Ordering::SeqCst},
        time::Duration,
    },
};

/// Comparisons in a row that must agree on a step: a VM that was suspended first hears what was
/// sent in the meantime.
const MIN_AGREEING_ROUNDS: u32 = 5;
/// Difference to the other VMs from which the own clock counts as stepped, in milliseconds;
/// ordinary clocks of the fleet differ by less.
const MIN_STEP_MS: i64 = 250;

/// The time of day as read at the start and carried on by the steady clock; corrected by the median
/// of the other VMs where the start fell into a step.
#[derive(Debug)]
pub(crate) struct WallClock {
    start: Stamp,
    start_unix: Duration,
    /// Milliseconds to add.
    offset_ms: AtomicI64,
    /// Comparisons in a row that spoke for another offset.
    agreeing_rounds: AtomicU32,
}

impl WallClock {
    pub(crate) fn new(clock: &dyn Clock) -> Self {
        Self {
            start: clock.now(),
            start_unix: clock.unix(),
            offset_ms: AtomicI64::new(0),
            agreeing_rounds: AtomicU32::new(0),
        }
    }

    /// Time since 1970 as this VM alone knows it, for the others to compare.
    pub(crate) fn uncorrected(&self, now: Stamp) -> Duration {
        self.start_unix + now.since(self.start)
    }

    /// Best estimate of the time since 1970.
    pub(crate) fn unix(&self, now: Stamp) -> Duration {
        let uncorrected = self.uncorrected(now);
        let offset = self.offset_ms.load(SeqCst);
        let magnitude = Duration::from_millis(offset.unsigned_abs());
        if offset < 0 {
            uncorrected.saturating_sub(magnitude)
        } else {
            uncorrected + magnitude
        }
    }

    /// Takes in how far the others are ahead, in milliseconds; returns a new correction.
    pub(crate) fn update_offset(&self, mut offsets: Vec<i64>) -> Option<i64> {
        offsets.push(0);
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        let offset = if median.abs() >= MIN_STEP_MS {
            median
        } else {
            0
        };
        let old = self.offset_ms.load(SeqCst);
        if (old - offset).abs() < MIN_STEP_MS {
            self.agreeing_rounds.store(0, SeqCst);
            return None;
        }
        if self.agreeing_rounds.fetch_add(1, SeqCst) + 1 < MIN_AGREEING_ROUNDS {
            return None;
        }
        self.agreeing_rounds.store(0, SeqCst);
        self.offset_ms.store(offset, SeqCst);
        Some(offset)
    }
}
