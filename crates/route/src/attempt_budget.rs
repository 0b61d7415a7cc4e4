//! A budget that keeps extra work to a share of the traffic.

/// Retries for each whole answer.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that may be saved up: those of the streams of a few endpoints that fail together.
pub const RETRY_BURST: f64 = 100.0;

/// Grants extra requests up to a share of ordinary ones, so that they never amplify an outage.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptBudget {
    share: f64,
    cap: f64,
    saved: f64,
}

impl AttemptBudget {
    /// A full budget that earns `share` of an extra request for each ordinary one, and saves up `cap`.
    pub fn new(share: f64, cap: f64) -> Self {
        Self {
            share,
            cap,
            saved: cap,
        }
    }

    /// Counts an ordinary request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.share).min(self.cap);
    }

    /// Takes one extra request out of the budget, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
