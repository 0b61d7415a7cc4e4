//! The state of all leases on a log, for display.

use {
    super::{LeaseId, LeaseRecord, LeaseState},
    std::collections::BTreeMap,
};

/// State of all leases, derived from the records of the log.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseId, LeaseState>,
    /// Records below this offset are lost.
    first: u64,
}

impl LeaseTable {
    /// Handles the loss of the records below `first`.
    pub fn mark_lost(&mut self, first: u64) {
        self.first = first;
        for state in self.leases.values_mut() {
            state.mark_lost(first);
        }
    }

    /// Applies the record at `offset`; data that is not a lease record is ignored.
    pub fn fold(&mut self, offset: u64, data: &str) {
        let Ok(record) = serde_json::from_str::<LeaseRecord>(data) else {
            return;
        };
        let first = self.first;
        let empty = || LeaseState::starting_at(first);
        let state = self
            .leases
            .entry(record.lease.clone())
            .or_insert_with(empty);
        state.fold(offset, &record);
    }

    /// Returns all leases with their states.
    pub fn leases(&self) -> impl Iterator<Item = (&LeaseId, &LeaseState)> {
        self.leases.iter()
    }
}
