//! Least outstanding requests: a baseline.

use {
    super::{Ending, LoadReport, Need, Picker, Target, table::Table},
    clock::Instant,
    std::time::Duration,
    types::{EndpointId, Tier, Tokens},
};

/// Chooses the endpoint with the fewest requests in flight.
#[derive(Debug, Default)]
pub struct LeastOutstanding {
    table: Table,
}

impl Picker for LeastOutstanding {
    fn set_targets(&mut self, _now: Instant, targets: &[Target]) {
        self.table.set(targets);
    }

    fn fits(&self, _now: Instant, need: &Need) -> bool {
        self.table.rows.values().any(|r| r.has_room(need))
    }

    fn pick(&mut self, _now: Instant, need: &Need) -> Option<Target> {
        let rows = self.table.rows.values().filter(|r| r.has_room(need));
        let id = rows.min_by_key(|r| r.flying)?.target.id.clone();
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
