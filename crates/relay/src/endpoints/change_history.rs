//! The newest changes of the list of endpoints, for VMs that follow this one.

use {
    super::Endpoint,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
    types::EndpointId,
};

/// Changes kept: those of some minutes of replacements and reclaims; who lacks more gets the whole list.
const MAX_CHANGES: usize = 1_024;

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EndpointChange {
    /// The endpoint is listed with these facts.
    Listed(Endpoint),
    /// The endpoint is gone.
    Gone(EndpointId),
}

/// Numbered changes.
#[derive(Debug, Default)]
pub(crate) struct ChangeHistory {
    changes: VecDeque<EndpointChange>,
    next: u64,
}

impl ChangeHistory {
    /// Adds a change.
    pub(crate) fn add(&mut self, change: EndpointChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.next += 1;
    }

    /// Number of the next change.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Changes from number `from` on, or nothing if some of them are no longer kept.
    pub(crate) fn since(&self, from: u64) -> Option<Vec<EndpointChange>> {
        let first = self.next - self.changes.len() as u64;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        (from <= self.next).then(|| self.changes.iter().skip(skip).cloned().collect())
    }
}
