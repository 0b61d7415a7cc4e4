//! Budget for extra attempts, as a ratio of ordinary requests.

/// Retries earned per completed request.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that can accumulate: enough for the streams of a few endpoints that fail together.
pub const RETRY_BURST: f64 = 100.0;

/// Token bucket that limits extra attempts (retries, hedges) to a ratio of ordinary requests, so
/// that they never amplify an outage.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptBudget {
    ratio: f64,
    burst: f64,
    balance: f64,
}

impl AttemptBudget {
    /// A full budget that earns `ratio` extra attempts per ordinary request and holds up to
    /// `burst`.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            balance: burst,
        }
    }

    /// Counts an ordinary request, which earns a fraction of an extra attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.burst);
    }

    /// Takes one extra attempt out of the budget; `false` if there is none left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
