//! Durations of the lease protocol.

use std::time::Duration;

const TERM: Duration = Duration::from_secs(6);
const EARLY: Duration = Duration::from_millis(500);
const FLIGHT: Duration = Duration::from_millis(2_500);
const SPREAD: Duration = Duration::from_millis(400);
/// As a fraction.
const DRIFT: f64 = 0.02;
const RENEWALS_PER_TERM: u32 = 3;
const RETRIES_PER_TERM: u32 = 10;

/// Durations of the lease protocol; all contenders of a lease must use the same.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTiming {
    /// Time from just before a renewal is sent until the lease expires, on the holder's clock.
    pub term: Duration,
    /// How long before expiry the holder stops acting: the longest time from a lease check to the
    /// send of the write that it guards.
    pub early: Duration,
    /// Longest time from the send of a write under the lease to its effect.
    pub flight: Duration,
    /// Range of the random delay that spreads claims.
    pub spread: Duration,
    /// Largest difference between the rates of two VMs' clocks, as a fraction.
    pub drift: f64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            term: TERM,
            early: EARLY,
            flight: FLIGHT,
            spread: SPREAD,
            drift: DRIFT,
        }
    }
}

impl LeaseTiming {
    /// Time for which a holder may act, counted from just before it sent its last renewal.
    pub fn hold_time(&self) -> Duration {
        self.term.saturating_sub(self.early)
    }

    /// Time for which another contender waits after it read the last renewal before it claims the
    /// lease.
    pub fn takeover_delay(&self) -> Duration {
        (self.term + self.flight).mul_f64(1.0 + self.drift)
    }

    /// Time between renewals.
    pub fn renew_interval(&self) -> Duration {
        self.term / RENEWALS_PER_TERM
    }

    /// Delay before an append is retried.
    pub fn retry_delay(&self) -> Duration {
        self.term / RETRIES_PER_TERM
    }
}
