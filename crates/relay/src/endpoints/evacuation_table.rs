//! The availability zones that operators have evacuated.
//!
//! What was read at a later position of the platform's log replaces what was read before, whoever read it,
//! so that a stale state of another VM never reopens a zone.

use {
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{LogPosition, ZoneId},
};

/// Time for which a zone stays closed that is missing after the store started a new era: its records are written
/// again one by one.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// The evacuated zones, as read up to a position of the log.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    /// Position up to which the log was read; `None` if it wasn't.
    at: Option<LogPosition>,
    /// The zones, and when those are dropped that are missing in the latest state.
    zones: BTreeMap<ZoneId, Option<Instant>>,
}

impl EvacuationTable {
    /// Applies a complete state that was read up to `at`. Returns whether it replaced the known one.
    pub fn replace(&mut self, now: Instant, at: LogPosition, zones: &BTreeSet<ZoneId>) -> bool {
        if self.at.is_some_and(|known| known >= at) {
            return false;
        }
        let new_era = self.at.is_some_and(|known| known.era < at.era);
        self.at = Some(at);
        for (zone, expires) in &mut self.zones {
            if !zones.contains(zone) {
                let until = if new_era { now + REWRITE_TIME } else { now };
                expires.get_or_insert(until);
            }
        }
        let listed = zones.iter().map(|zone| (zone.clone(), None));
        self.zones.extend(listed);
        self.expire(now);
        true
    }

    /// Applies one change that was read.
    pub fn set(&mut self, zone: ZoneId, evacuated: bool) {
        if evacuated {
            self.zones.insert(zone, None);
        } else {
            self.zones.remove(&zone);
        }
    }

    /// Records that all changes up to `at` were applied.
    pub fn advance(&mut self, at: LogPosition) {
        self.at = self.at.max(Some(at));
    }

    /// Drops the zones whose retention has expired. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.zones.len();
        self.zones
            .retain(|_, expires| expires.is_none_or(|at| now < at));
        self.zones.len() != before
    }

    /// Position up to which the log was read; `None` if it wasn't.
    pub fn position(&self) -> Option<LogPosition> {
        self.at
    }

    /// The evacuated zones.
    pub fn zones(&self) -> BTreeSet<ZoneId> {
        self.zones.keys().cloned().collect()
    }
}
