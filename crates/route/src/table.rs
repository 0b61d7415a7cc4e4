//! Table of endpoints and their requests in flight, shared by the pickers.

use {
    super::{Candidate, Requirements},
    std::collections::BTreeMap,
    types::EndpointId,
};

/// One endpoint with the requests that this scheduler has in flight there.
#[derive(Debug, Clone)]
pub(crate) struct EndpointRow<E = ()> {
    pub(crate) candidate: Candidate,
    pub(crate) in_flight: u32,
    /// Whether the endpoint is listed and takes new requests.
    pub(crate) open: bool,
    /// State of the picker's policy.
    pub(crate) policy: E,
}

impl<E> EndpointRow<E> {
    pub(crate) fn accepts(&self, requirements: &Requirements) -> bool {
        let excluded = self.candidate.cheap && !requirements.idempotent;
        self.open
            && !excluded
            && self.in_flight < self.candidate.slots
            && !requirements.avoid.contains(&self.candidate.id)
    }
}

/// Endpoints by identifier.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable<E = ()> {
    pub(crate) rows: BTreeMap<EndpointId, EndpointRow<E>>,
}

impl<E: Default> EndpointTable<E> {
    /// Replaces the list of endpoints. Endpoints no longer listed are closed, and removed when
    /// their last request ends.
    pub(crate) fn set_candidates(&mut self, candidates: &[Candidate]) {
        for row in self.rows.values_mut() {
            row.open = false;
        }
        for candidate in candidates {
            let row = self
                .rows
                .entry(candidate.id.clone())
                .or_insert_with(|| EndpointRow {
                    candidate: candidate.clone(),
                    in_flight: 0,
                    open: true,
                    policy: E::default(),
                });
            row.candidate = candidate.clone();
            row.open = true;
        }
        self.rows.retain(|_, r| r.open || r.in_flight > 0);
    }

    pub(crate) fn start(&mut self, id: &EndpointId) -> Option<Candidate> {
        let row = self.rows.get_mut(id)?;
        row.in_flight += 1;
        Some(row.candidate.clone())
    }

    pub(crate) fn finish(&mut self, id: &EndpointId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
        self.rows.retain(|_, r| r.open || r.in_flight > 0);
    }

    pub(crate) fn free_slots(&self) -> u32 {
        let open = self.rows.values().filter(|r| r.open);
        open.map(|r| r.candidate.slots.saturating_sub(r.in_flight))
            .sum()
    }

    pub(crate) fn slots(&self) -> u32 {
        self.rows
            .values()
            .filter(|r| r.open)
            .map(|r| r.candidate.slots)
            .sum()
    }
}
