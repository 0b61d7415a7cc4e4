//! Request counts by window. Each process publishes cumulative counts, so that repeated or
//! reordered records change nothing.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, btree_map::Entry},
        time::Duration,
    },
    types::{Incarnation, OrgId, VmId},
};

/// Windows that are kept after their end; more than are ever due at once.
pub(crate) const KEPT_WINDOWS: u64 = 12;

/// Ended windows that are published again when the process that stores them changes.
const REPEATED_WINDOWS: u64 = 4;

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
    /// Whether the window had ended, so that the counts are final.
    #[serde(default)]
    pub complete: bool,
    /// Whether the process has stopped and counts nothing more.
    #[serde(default)]
    pub stopped: bool,
}

impl WindowCountRecord {
    /// Merges a record of the same process and window. Counts only grow.
    pub(crate) fn merge(&mut self, other: Self) {
        self.complete |= other.complete;
        self.stopped |= other.stopped;
        for (org, count) in other.counts {
            let current = self.counts.entry(org).or_default();
            *current = count.max(*current);
        }
    }
}

/// The counts of a window, to be published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Requests that began in it, by organisation.
    pub counts: BTreeMap<OrgId, u64>,
    /// Whether the window has ended.
    pub complete: bool,
}

/// Counts the requests of this process.
#[derive(Debug, Clone, Default)]
pub struct WindowCounter {
    windows: BTreeMap<u64, BTreeMap<OrgId, u64>>,
    changed: BTreeSet<u64>,
    /// The window at the last call of `take_changed`.
    current: Option<u64>,
}

impl WindowCounter {
    /// Counts a request of `org` that began in `window`.
    pub fn count(&mut self, window: u64, org: &OrgId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(org.clone()).or_default() += 1;
        self.changed.insert(window);
        let oldest = window.saturating_sub(KEPT_WINDOWS);
        self.windows.retain(|w, _| *w >= oldest);
    }

    /// Returns the windows that changed since the last call: those with new counts, and those that
    /// have ended. `current` is the present window. A window that ends is published even if it has
    /// no counts, so that nobody waits for them.
    pub fn take_changed(&mut self, current: u64) -> Vec<WindowCounts> {
        let last = self.current.unwrap_or(current);
        let oldest = current.saturating_sub(KEPT_WINDOWS);
        self.changed.extend(last.max(oldest)..current);
        self.current = Some(current.max(last));
        let changed = std::mem::take(&mut self.changed);
        let windows = changed.into_iter().filter(|w| *w >= oldest);
        let counts = windows.map(|window| WindowCounts {
            window,
            counts: self.windows.get(&window).cloned().unwrap_or_default(),
            complete: window < current,
        });
        counts.collect()
    }

    /// Marks the latest windows as changed again, because those that were published may not have
    /// been stored.
    pub fn mark_recent(&mut self) {
        if let Some(current) = self.current {
            self.changed
                .extend(current.saturating_sub(REPEATED_WINDOWS)..=current);
        }
    }

    /// Marks a window as changed again after its record could not be stored.
    pub fn mark_changed(&mut self, window: u64) {
        self.changed.insert(window);
    }
}

/// Collects the counts of all processes.
#[derive(Debug, Clone, Default)]
pub struct WindowTotals {
    rows: BTreeMap<(u64, VmId, Incarnation), WindowCountRecord>,
}

impl WindowTotals {
    /// Applies a record.
    pub fn fold(&mut self, record: WindowCountRecord) {
        let oldest = record.window.saturating_sub(KEPT_WINDOWS);
        let key = (record.window, record.vm.clone(), record.incarnation);
        match self.rows.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(record);
            }
            Entry::Occupied(mut entry) => entry.get_mut().merge(record),
        }
        self.rows.retain(|(w, _, _), _| *w >= oldest);
    }

    /// Returns the counts of one window, summed over all processes.
    pub fn total(&self, window: u64) -> BTreeMap<OrgId, u64> {
        let mut sum = BTreeMap::new();
        let rows = self.rows.iter().filter(|((w, _, _), _)| *w == window);
        for (org, count) in rows.flat_map(|(_, row)| &row.counts) {
            *sum.entry(org.clone()).or_default() += count;
        }
        sum
    }

    /// The processes whose final counts of a window are not known: those with counts in it or in the one
    /// before, unless they have stopped or restarted. One that died is among them.
    pub fn missing(&self, window: u64) -> BTreeSet<(VmId, Incarnation)> {
        let known = self
            .rows
            .keys()
            .filter(|(w, _, _)| *w <= window && *w + 1 >= window);
        let is_missing = |(w, vm, incarnation): &&(u64, VmId, Incarnation)| {
            let row = self.rows.get(&(window, vm.clone(), *incarnation));
            let before = self.rows.get(&(*w, vm.clone(), *incarnation));
            let is_complete = row.is_some_and(|r| r.complete || r.stopped);
            let has_stopped = before.is_some_and(|r| r.stopped);
            !is_complete && !has_stopped && !self.has_restarted(vm, *incarnation)
        };
        let missing = known.filter(is_missing);
        missing.map(|(_, vm, inc)| (vm.clone(), *inc)).collect()
    }

    fn has_restarted(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        let mut rows = self.rows.keys();
        rows.any(|(_, other, inc)| other == vm && *inc > incarnation)
    }
}
