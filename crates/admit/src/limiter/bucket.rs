//! Token bucket whose level may become negative.

use {clock::Instant, std::time::Duration};

/// Capacity of a bucket, as time at its rate.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Maximum wait reported to a caller.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Tolerance for rounding errors of the level.
const ROUNDING: f64 = 1e-9;

/// Token bucket with a capacity of one second at its rate, but at least one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    level: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// A full bucket. The level starts infinite and is clamped to the capacity at the first refill.
    pub(super) fn full(now: Instant) -> Self {
        Self {
            level: f64::INFINITY,
            refilled_at: now,
        }
    }

    /// Refills at `rate` per second. Returns the time until the level reaches `needed`; zero if it
    /// already does.
    pub(super) fn refill(&mut self, now: Instant, rate: f64, needed: f64) -> Duration {
        let size = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let added = rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + added).min(size);
        self.refilled_at = now;
        if self.level + ROUNDING >= needed {
            return Duration::ZERO;
        }
        let wait = Duration::try_from_secs_f64((needed - self.level) / rate);
        wait.map_or(MAX_WAIT, |w| w.min(MAX_WAIT))
    }

    /// Takes an amount; the level may become negative.
    pub(super) fn take(&mut self, amount: f64) {
        if self.level.is_finite() {
            self.level -= amount;
        }
    }

    pub(super) fn is_in_debt(&self) -> bool {
        self.level < 0.0
    }
}
