//! Running account of a request's attempts.

use super::Verdict;

/// The attempts made for one request so far and what they add up to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempt {
    made: u32,
    verdict: Verdict,
}

impl Attempt {
    /// Records one more attempt that ended with `verdict`.
    pub fn record(&mut self, verdict: Verdict) {
        self.made += 1;
        self.verdict = self.verdict.then(verdict);
    }

    /// Attempts recorded.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Verdict over all attempts.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }
}
