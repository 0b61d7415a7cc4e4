//! All leases of a log, for display.

use {
    super::{LeaseId, LeaseRecord, LeaseState},
    std::collections::BTreeMap,
};

/// State of all leases, folded from the log.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseId, LeaseState>,
    first: u64,
}

impl LeaseTable {
    /// Takes note that records below `first` are lost.
    pub fn mark_lost(&mut self, first: u64) {
        self.first = first;
        for state in self.leases.values_mut() {
            state.mark_lost(first);
        }
    }

    /// Folds the record at `offset`; text that is not a lease record is left out.
    pub fn fold(&mut self, offset: u64, data: &str) {
        let Ok(record) = serde_json::from_str::<LeaseRecord>(data) else {
            return;
        };
        let first = self.first;
        let new = || LeaseState::starting_at(first);
        let state = self.leases.entry(record.lease.clone()).or_insert_with(new);
        state.fold(offset, &record);
    }

    /// All leases with their states.
    pub fn leases(&self) -> impl Iterator<Item = (&LeaseId, &LeaseState)> {
        self.leases.iter()
    }
}
