//! Times of the lease protocol.

use std::time::Duration;

const TERM: Duration = Duration::from_secs(6);
const EARLY: Duration = Duration::from_millis(500);
const FLIGHT: Duration = Duration::from_millis(2_500);
const SPREAD: Duration = Duration::from_millis(400);
/// Largest difference between the rates of two VMs' clocks.
const DRIFT: f64 = 0.02;
const RENEWALS_PER_TERM: u32 = 3;
const RETRIES_PER_TERM: u32 = 10;

/// Times of the lease protocol; all contenders of a lease must use the same.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTiming {
    /// Time from before the send of a renewal to the lapse of the lease, on the holder's clock.
    pub term: Duration,
    /// How long before the lapse the holder stops: the longest time from a check to the send.
    pub early: Duration,
    /// Longest time from the send of a guarded write to its effect.
    pub flight: Duration,
    /// Contenders spread their claims over this time.
    pub spread: Duration,
    /// Largest difference between the rates of two VMs' clocks, as a share.
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
    /// Time for which a holder may act, from before the send of its last renewal.
    pub fn hold_time(&self) -> Duration {
        self.term.saturating_sub(self.early)
    }

    /// Time that a rival waits after it read the last renewal.
    pub fn takeover_delay(&self) -> Duration {
        (self.term + self.flight).mul_f64(1.0 + self.drift)
    }

    /// Time between renewals.
    pub fn renew_interval(&self) -> Duration {
        self.term / RENEWALS_PER_TERM
    }

    /// Pause after a failed append.
    pub fn retry_delay(&self) -> Duration {
        self.term / RETRIES_PER_TERM
    }
}
