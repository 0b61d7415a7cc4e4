//! The latest changes of the endpoint list, for VMs that read it from this one.

use {
    super::Endpoint,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
    types::EndpointId,
};

/// Number of changes kept, enough for some minutes of replacements and reclaims. A VM that is
/// further behind gets the complete list.
const MAX_CHANGES: usize = 1_024;

/// One change of the endpoint list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EndpointChange {
    /// The endpoint was added or updated.
    Listed(Endpoint),
    /// The endpoint was removed.
    Gone(EndpointId),
}

/// The latest changes, numbered consecutively.
#[derive(Debug, Default)]
pub(crate) struct ChangeHistory {
    changes: VecDeque<EndpointChange>,
    next: u64,
}

impl ChangeHistory {
    /// Appends a change, and drops the oldest one if there are too many.
    pub(crate) fn add(&mut self, change: EndpointChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.next += 1;
    }

    /// Number that the next change will get.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Changes from number `from` on, or `None` if some of them are no longer kept.
    pub(crate) fn since(&self, from: u64) -> Option<Vec<EndpointChange>> {
        let first = self.next - self.changes.len() as u64;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        (from <= self.next).then(|| self.changes.iter().skip(skip).cloned().collect())
    }
}
