//! Round-robin picker, a baseline.

use {
    super::{Candidate, LoadReport, Picker, RequestOutcome, Requirements, table::EndpointTable},
    clock::Instant,
    std::{ops::Bound, time::Duration},
    types::{EndpointId, Tier, Tokens},
};

/// Picks the next endpoint with a free slot after the last one picked.
#[derive(Debug, Default)]
pub struct RoundRobin {
    table: EndpointTable,
    last: Option<EndpointId>,
}

impl RoundRobin {
    fn after_last(&self, requirements: &Requirements) -> Option<EndpointId> {
        let last = self.last.as_ref()?;
        let range = (Bound::Excluded(last.clone()), Bound::Unbounded);
        let mut rows = self.table.rows.range::<EndpointId, _>(range);
        rows.find(|(_, r)| r.accepts(requirements))
            .map(|(id, _)| id.clone())
    }

    fn first(&self, requirements: &Requirements) -> Option<EndpointId> {
        self.table
            .rows
            .iter()
            .find(|(_, r)| r.accepts(requirements))
            .map(|(id, _)| id.clone())
    }
}

impl Picker for RoundRobin {
    fn set_candidates(&mut self, _now: Instant, candidates: &[Candidate]) {
        self.table.set_candidates(candidates);
    }

    fn can_pick(&self, _now: Instant, requirements: &Requirements) -> bool {
        self.table.rows.values().any(|r| r.accepts(requirements))
    }

    fn pick(&mut self, _now: Instant, requirements: &Requirements) -> Option<Candidate> {
        let id = self
            .after_last(requirements)
            .or_else(|| self.first(requirements))?;
        self.last = Some(id.clone());
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
