//! Amounts by urgency.

use {
    serde::{Deserialize, Serialize},
    types::Urgency,
};

/// Prompt tokens not yet prefilled. Engines prefill the more urgent ones first.
pub type PendingPrefill = UrgencyAmounts;
/// Slot demand, in milliseconds for each second.
pub type SlotDemand = UrgencyAmounts;

/// An amount for each urgency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub struct UrgencyAmounts([u64; Urgency::LEVELS as usize]);

impl UrgencyAmounts {
    /// An amount of one urgency.
    pub fn new(urgency: Urgency, amount: u64) -> Self {
        let mut pending = Self::default();
        pending.0[urgency.index()] = amount;
        pending
    }

    /// Amount of `urgency` and of the more urgent ones.
    pub(super) fn ahead_of(&self, urgency: Urgency) -> u64 {
        self.0[..=urgency.index()].iter().sum()
    }

    /// Amount of one urgency.
    pub fn of(&self, urgency: Urgency) -> u64 {
        self.0[urgency.index()]
    }

    /// Sum of all levels.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Adds level by level.
    pub fn add(&mut self, other: Self) {
        for (own, more) in self.0.iter_mut().zip(other.0) {
            *own += more;
        }
    }

    /// Subtracts; no level falls below zero.
    pub fn sub(&mut self, other: Self) {
        for (own, less) in self.0.iter_mut().zip(other.0) {
            *own = own.saturating_sub(less);
        }
    }
}

impl From<Vec<u64>> for UrgencyAmounts {
    fn from(levels: Vec<u64>) -> Self {
        let mut pending = Self::default();
        for (own, tokens) in pending.0.iter_mut().zip(levels) {
            *own = tokens;
        }
        pending
    }
}

impl From<UrgencyAmounts> for Vec<u64> {
    /// The levels up to the last one in use: most amounts are of a few levels, and travel in datagrams.
    fn from(pending: UrgencyAmounts) -> Self {
        let used = pending.0.iter().rposition(|tokens| *tokens > 0);
        pending.0[..used.map_or(0, |last| last + 1)].to_vec()
    }
}
