//! Request counts by window. Each process publishes cumulative counts, so that repeated or
//! reordered records change nothing.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    types::{Incarnation, OrgId, VmId},
};

/// Windows that are kept after their end; more than are ever due at once.
const KEPT_WINDOWS: u64 = 12;

/// Returns the number of the window that contains the Unix time `unix`.
pub fn window_at(unix: Duration, length: Duration) -> u64 {
    let number = unix.as_nanos() / length.as_nanos().max(1);
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// Cumulative counts of one process in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCountRecord {
    /// VM of the process.
    pub vm: VmId,
    /// Incarnation of the process.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    /// Number of the window.
    pub window: u64,
    /// Requests that began in the window, by organisation.
    pub counts: BTreeMap<OrgId, u64>,
}

/// Counts the requests of this process.
#[derive(Debug, Clone, Default)]
pub struct WindowCounter {
    windows: BTreeMap<u64, BTreeMap<OrgId, u64>>,
    changed: BTreeMap<u64, bool>,
}

impl WindowCounter {
    /// Counts a request of `org` that began in `window`.
    pub fn count(&mut self, window: u64, org: &OrgId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(org.clone()).or_default() += 1;
        self.changed.insert(window, true);
        let oldest = window.saturating_sub(KEPT_WINDOWS);
        self.windows.retain(|w, _| *w >= oldest);
        self.changed.retain(|w, _| *w >= oldest);
    }

    /// Returns the windows whose counts changed since the last call, with their counts.
    pub fn take_changed(&mut self) -> Vec<(u64, BTreeMap<OrgId, u64>)> {
        let changed = std::mem::take(&mut self.changed);
        let windows = changed.into_keys();
        windows
            .filter_map(|w| Some((w, self.windows.get(&w)?.clone())))
            .collect()
    }

    /// Marks a window as changed again after its record could not be stored.
    pub fn mark_changed(&mut self, window: u64) {
        if self.windows.contains_key(&window) {
            self.changed.insert(window, true);
        }
    }
}

/// Collects the counts of all processes.
#[derive(Debug, Clone, Default)]
pub struct WindowTotals {
    rows: BTreeMap<(u64, VmId, Incarnation), BTreeMap<OrgId, u64>>,
}

impl WindowTotals {
    /// Applies a record. Counts of a process only grow.
    pub fn fold(&mut self, record: WindowCountRecord) {
        let WindowCountRecord {
            vm,
            incarnation,
            window,
            counts,
        } = record;
        let row = self.rows.entry((window, vm, incarnation)).or_default();
        for (org, count) in counts {
            let current = row.entry(org).or_default();
            *current = count.max(*current);
        }
        let oldest = window.saturating_sub(KEPT_WINDOWS);
        self.rows.retain(|(w, _, _), _| *w >= oldest);
    }

    /// Returns the counts of one window, summed over all processes.
    pub fn total(&self, window: u64) -> BTreeMap<OrgId, u64> {
        let mut sum = BTreeMap::new();
        let rows = self.rows.iter().filter(|((w, _, _), _)| *w == window);
        for (org, count) in rows.flat_map(|(_, counts)| counts) {
            *sum.entry(org.clone()).or_default() += count;
        }
        sum
    }
}
