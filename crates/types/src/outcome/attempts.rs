//! The attempts made for a request.

use super::Verdict;

/// Number of attempts made for a request, and their combined verdict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    count: u32,
    verdict: Verdict,
}

impl Attempts {
    /// Records an attempt that ended with `verdict`.
    pub fn record(&mut self, verdict: Verdict) {
        self.count += 1;
        self.verdict = self.verdict.combine(verdict);
    }

    /// Number of recorded attempts.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Combined verdict of all attempts.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }
}
