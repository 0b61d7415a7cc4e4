//! Prompt tokens that engines have not prefilled yet.

use {
    serde::{Deserialize, Serialize},
    types::Urgency,
};

/// Prompt tokens not yet prefilled, by urgency. Engines prefill the more urgent ones first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub struct PendingPrefill([u64; Urgency::LEVELS as usize]);

impl PendingPrefill {
    /// Pending tokens of one request.
    pub fn new(urgency: Urgency, tokens: u64) -> Self {
        let mut pending = Self::default();
        pending.0[urgency.index()] = tokens;
        pending
    }

    /// Tokens that are prefilled before those of a new request of `urgency`.
    pub(super) fn ahead_of(&self, urgency: Urgency) -> u64 {
        self.0[..=urgency.index()].iter().sum()
    }

    /// Tokens of all levels.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    pub(super) fn add(&mut self, other: Self) {
        for (own, more) in self.0.iter_mut().zip(other.0) {
            *own += more;
        }
    }

    /// Subtracts; no level falls below zero.
    pub(super) fn sub(&mut self, other: Self) {
        for (own, less) in self.0.iter_mut().zip(other.0) {
            *own = own.saturating_sub(less);
        }
    }
}

impl From<Vec<u64>> for PendingPrefill {
    fn from(levels: Vec<u64>) -> Self {
        let mut pending = Self::default();
        for (own, tokens) in pending.0.iter_mut().zip(levels) {
            *own = tokens;
        }
        pending
    }
}

impl From<PendingPrefill> for Vec<u64> {
    /// The levels up to the last one in use: most loads are of a few levels, and travel in datagrams.
    fn from(pending: PendingPrefill) -> Self {
        let used = pending.0.iter().rposition(|tokens| *tokens > 0);
        pending.0[..used.map_or(0, |last| last + 1)].to_vec()
    }
}
