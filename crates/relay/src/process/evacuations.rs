//! Evacuated availability zones, applied to the placers.

use {
    super::{Node, state_trailer::EvacuationRecord},
    std::collections::BTreeSet,
    types::{LogPosition, ZoneId},
};

impl Node {
    /// Applies a complete state of the evacuated zones that was read up to `at`, by this VM or another.
    pub(crate) fn replace_evacuations(&self, at: LogPosition, zones: &BTreeSet<ZoneId>) {
        let now = self.clock.now();
        let mut table = self.evacuations.lock();
        let before = table.zones();
        if table.replace(now, at, zones) {
            self.close_zones(&before, &table.zones(), Some(at));
        }
    }

    /// Applies a change that this VM has read.
    pub(crate) fn set_evacuated(&self, zone: ZoneId, evacuated: bool) {
        let mut table = self.evacuations.lock();
        let before = table.zones();
        table.set(zone, evacuated);
        self.close_zones(&before, &table.zones(), table.position());
    }

    /// Records that this VM has applied all changes up to `at`.
    pub(crate) fn advance_evacuations(&self, at: LogPosition) {
        self.evacuations.lock().advance(at);
    }

    /// Opens the zones that are missing since the store started a new era.
    pub(crate) fn expire_evacuations(&self) {
        let now = self.clock.now();
        let mut table = self.evacuations.lock();
        let before = table.zones();
        if table.expire(now) {
            self.close_zones(&before, &table.zones(), table.position());
        }
    }

    /// The evacuated zones.
    pub(crate) fn evacuated_zones(&self) -> BTreeSet<ZoneId> {
        self.evacuations.lock().zones()
    }

    /// Position up to which this VM knows the evacuated zones.
    pub(super) fn evacuations_position(&self) -> Option<LogPosition> {
        self.evacuations.lock().position()
    }

    /// The evacuated zones as sent to other VMs.
    pub(super) fn evacuation_record(&self) -> Option<EvacuationRecord> {
        let table = self.evacuations.lock();
        let at = table.position()?;
        let zones = table.zones();
        Some(EvacuationRecord { at, zones })
    }

    /// Closes the endpoints of `zones` and opens those of the others. Called with the table locked.
    fn close_zones(
        &self,
        before: &BTreeSet<ZoneId>,
        zones: &BTreeSet<ZoneId>,
        at: Option<LogPosition>,
    ) {
        if before == zones {
            return;
        }
        let position = at.unwrap_or_default();
        for zone in zones.difference(before) {
            log::warn!(zone:% = zone, position:% = position; "availability zone evacuated, its endpoints get no more requests");
        }
        for zone in before.difference(zones) {
            log::warn!(zone:% = zone, position:% = position; "availability zone in service again");
        }
        let now = self.clock.now();
        let mut placers = self.placers.lock();
        let placers = placers.values_mut();
        placers.for_each(|p| p.set_evacuated(now, zones));
        self.changed.notify(usize::MAX);
    }

    /// Updates the gauges of endpoints by their state.
    pub(crate) fn count_endpoint_states(&self) {
        let now = self.clock.now();
        let placers = self.placers.lock();
        let mut total = [0; 3];
        for placer in placers.values() {
            let counts = placer.state_counts(now);
            total.iter_mut().zip(counts).for_each(|(t, c)| *t += c);
        }
        for (state, count) in ["open", "cold", "evacuated"].into_iter().zip(total) {
            metrics::gauge!("celerystage_endpoints", "state" => state).set(count as f64);
        }
    }
}
