//! Running account of a request's attempts.

use super::Verdict;

/// The attempts made for one request so far and what they add up to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    count: u32,
    verdict: Verdict,
}

impl Attempts {
    /// Records one more attempt that ended with `verdict`.
    pub fn record(&mut self, verdict: Verdict) {
        self.count += 1;
        self.verdict = self.verdict.combine(verdict);
    }

    /// Attempts recorded.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Verdict over all attempts.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }
}
