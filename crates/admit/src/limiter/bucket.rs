//! A token bucket whose level may fall below zero.

use {clock::Instant, std::time::Duration};

/// Time's worth of its rate that a bucket holds.
const BURST: Duration = Duration::from_secs(1);
/// Longest wait that is told to a caller.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Tolerance for rounding of levels.
const ROUNDING: f64 = 1e-9;

/// A token bucket that holds a second's worth of its rate, one at least.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    level: f64,
    at: Instant,
}

impl Bucket {
    /// A bucket that is cut down to its size at first use.
    pub(super) fn full(now: Instant) -> Self {
        Self {
            level: f64::INFINITY,
            at: now,
        }
    }

    /// Adds what came in at `rate` a second; returns the time until the level exceeds or reaches
    /// `needed`.
    pub(super) fn refill(&mut self, now: Instant, rate: f64, needed: f64) -> Duration {
        let size = (rate * BURST.as_secs_f64()).max(1.0);
        let added = rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + added).min(size);
        self.at = now;
        if self.level + ROUNDING >= needed {
            return Duration::ZERO;
        }
        let wait = Duration::try_from_secs_f64((needed - self.level) / rate);
        wait.map_or(MAX_WAIT, |w| w.min(MAX_WAIT))
    }

    /// Takes an amount, beyond the level if need be.
    pub(super) fn take(&mut self, amount: f64) {
        if self.level.is_finite() {
            self.level -= amount;
        }
    }

    pub(super) fn is_in_debt(&self) -> bool {
        self.level < 0.0
    }
}
