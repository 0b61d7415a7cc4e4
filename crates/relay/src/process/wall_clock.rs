//! The wall-clock time, robust against steps of the machine's clock.

use {
    clock::{Clock, Instant},
    std::{
        sync::atomic::{AtomicI64, AtomicU32, Ordering::SeqCst},
        time::Duration,
    },
};

/// Consecutive comparisons that must yield a different offset before it is adopted. A VM that was
/// suspended first receives the datagrams that were sent in the meantime.
const MIN_AGREEING_ROUNDS: u32 = 5;
/// Difference to the other VMs from which this VM's clock counts as wrong, in milliseconds.
/// Normally the clocks of the fleet differ by less.
const MIN_STEP_MS: i64 = 250;

/// The wall-clock time as read at the start, advanced by the monotonic clock. If the clock was
/// wrong at the start, the median of the other VMs' clocks corrects it.
#[derive(Debug)]
pub(crate) struct WallClock {
    start: Instant,
    start_unix: Duration,
    /// Correction to add, in milliseconds.
    offset_ms: AtomicI64,
    /// Consecutive comparisons that yielded a different offset.
    agreeing_rounds: AtomicU32,
}

impl WallClock {
    pub(crate) fn new(clock: &dyn Clock) -> Self {
        Self {
            start: clock.now(),
            start_unix: clock.unix_time(),
            offset_ms: AtomicI64::new(0),
            agreeing_rounds: AtomicU32::new(0),
        }
    }

    /// Time since the Unix epoch without correction, which other VMs compare theirs with.
    pub(crate) fn uncorrected(&self, now: Instant) -> Duration {
        self.start_unix + now.since(self.start)
    }

    /// Corrected time since the Unix epoch.
    pub(crate) fn unix(&self, now: Instant) -> Duration {
        let uncorrected = self.uncorrected(now);
        let offset = self.offset_ms.load(SeqCst);
        let magnitude = Duration::from_millis(offset.unsigned_abs());
        if offset < 0 {
            uncorrected.saturating_sub(magnitude)
        } else {
            uncorrected + magnitude
        }
    }

    /// Compares with the offsets of the other VMs' clocks, in milliseconds. Returns the new
    /// correction if it changes.
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
