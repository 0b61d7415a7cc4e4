//! Counts that wait to be stored.

use {
    crate::{WindowCountRecord, window_counter::KEPT_WINDOWS},
    std::collections::{BTreeMap, btree_map::Entry},
    types::{Incarnation, VmId},
};

/// The newest counts of each process and window, until they are stored. However long the platform is
/// away, it holds no more than the windows that are still reported.
#[derive(Debug, Clone, Default)]
pub struct CountBacklog(BTreeMap<(u64, VmId, Incarnation), WindowCountRecord>);

impl CountBacklog {
    /// Adds a record, and drops windows that are too old to be reported.
    pub fn add(&mut self, record: WindowCountRecord) {
        let newest = self.0.keys().next_back().map_or(0, |(w, _, _)| *w);
        let oldest = newest.max(record.window).saturating_sub(KEPT_WINDOWS);
        self.0.retain(|(w, _, _), _| *w >= oldest);
        if record.window < oldest {
            return;
        }
        let key = (record.window, record.vm.clone(), record.incarnation);
        match self.0.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(record);
            }
            Entry::Occupied(mut entry) => entry.get_mut().merge(record),
        }
    }

    /// Takes all records.
    pub fn take(&mut self) -> Vec<WindowCountRecord> {
        std::mem::take(&mut self.0).into_values().collect()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
