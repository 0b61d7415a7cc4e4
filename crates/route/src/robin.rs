//! Round robin: a baseline.

use {
    super::{Ending, LoadReport, Need, Picker, Target, table::Table},
    clock::Instant,
    std::{ops::Bound, time::Duration},
    types::{EndpointId, Tier, Tokens},
};

/// Chooses the endpoint after the last chosen one that has room.
#[derive(Debug, Default)]
pub struct RoundRobin {
    table: Table,
    last: Option<EndpointId>,
}

impl RoundRobin {
    fn after_last(&self, need: &Need) -> Option<EndpointId> {
        let last = self.last.as_ref()?;
        let range = (Bound::Excluded(last.clone()), Bound::Unbounded);
        let mut rows = self.table.rows.range::<EndpointId, _>(range);
        rows.find(|(_, r)| r.has_room(need))
            .map(|(id, _)| id.clone())
    }

    fn first(&self, need: &Need) -> Option<EndpointId> {
        self.table
            .rows
            .iter()
            .find(|(_, r)| r.has_room(need))
            .map(|(id, _)| id.clone())
    }
}

impl Picker for RoundRobin {
    fn set_targets(&mut self, _now: Instant, targets: &[Target]) {
        self.table.set(targets);
    }

    fn fits(&self, _now: Instant, need: &Need) -> bool {
        self.table.rows.values().any(|r| r.has_room(need))
    }

    fn pick(&mut self, _now: Instant, need: &Need) -> Option<Target> {
        let id = self.after_last(need).or_else(|| self.first(need))?;
        self.last = Some(id.clone());
        self.table.start(&id)
    }

    fn occupy(&mut self, _now: Instant, id: &EndpointId, _tier: Tier) -> Option<Target> {
        self.table.start(id)
    }

    fn first_token(&mut self, _now: Instant, _id: &EndpointId, _after: Duration) {}

    fn progress(&mut self, _now: Instant, _id: &EndpointId, _tokens: Tokens, _span: Duration) {}

    fn done(&mut self, _now: Instant, id: &EndpointId, _tier: Tier, _ending: Ending) {
        self.table.finish(id);
    }

    fn report(&mut self, _now: Instant, _id: &EndpointId, _report: LoadReport) {}

    fn free(&self, _now: Instant) -> u32 {
        self.table.free()
    }

    fn slots(&self) -> u32 {
        self.table.slots()
    }
}
