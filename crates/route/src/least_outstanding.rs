//! Picker by least outstanding requests, a baseline.

use {
    super::{Candidate, LoadReport, Picker, RequestOutcome, Requirements, table::EndpointTable},
    clock::Instant,
    std::time::Duration,
    types::{EndpointId, Tier, Tokens},
};

/// Picks the endpoint with the fewest requests in flight.
#[derive(Debug, Default)]
pub struct LeastOutstanding {
    table: EndpointTable,
}

impl Picker for LeastOutstanding {
    fn set_candidates(&mut self, _now: Instant, candidates: &[Candidate]) {
        self.table.set_candidates(candidates);
    }

    fn can_pick(&self, _now: Instant, requirements: &Requirements) -> bool {
        self.table.rows.values().any(|r| r.accepts(requirements))
    }

    fn pick(&mut self, _now: Instant, requirements: &Requirements) -> Option<Candidate> {
        let rows = self.table.rows.values().filter(|r| r.accepts(requirements));
        let id = rows.min_by_key(|r| r.in_flight)?.candidate.id.clone();
        self.table.start(&id)
    }

    fn occupy(&mut self, _now: Instant, id: &EndpointId, _tier: Tier) -> Option<Candidate> {
        self.table.start(id)
    }

    fn record_first_token(&mut self, _now: Instant, _id: &EndpointId, _after: Duration) {}

    fn record_progress(
        &mut self,
        _now: Instant,
        _id: &EndpointId,
        _tokens: Tokens,
        _span: Duration,
    ) {
    }

    fn release(&mut self, _now: Instant, id: &EndpointId, _tier: Tier, _outcome: RequestOutcome) {
        self.table.finish(id);
    }

    fn report_load(&mut self, _now: Instant, _id: &EndpointId, _report: LoadReport) {}

    fn free_slots(&self, _now: Instant) -> u32 {
        self.table.free_slots()
    }

    fn slots(&self) -> u32 {
        self.table.slots()
    }
}
