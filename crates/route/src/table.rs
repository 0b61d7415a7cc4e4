//! Endpoints with their requests in flight, shared by the policies.

use {
    super::{Candidate, Requirements},
    std::collections::BTreeMap,
    types::EndpointId,
};

/// One endpoint and what this scheduler has in flight there.
#[derive(Debug, Clone)]
pub(crate) struct Row<E = ()> {
    pub(crate) target: Candidate,
    pub(crate) flying: u32,
    /// Whether the endpoint takes new requests.
    pub(crate) open: bool,
    /// What a policy keeps besides.
    pub(crate) extra: E,
}

impl<E> Row<E> {
    pub(crate) fn has_room(&self, need: &Requirements) -> bool {
        let barred = self.target.cheap && !need.idempotent;
        self.open
            && !barred
            && self.flying < self.target.slots
            && !need.avoid.contains(&self.target.id)
    }
}

/// Endpoints by id.
#[derive(Debug, Default)]
pub(crate) struct Table<E = ()> {
    pub(crate) rows: BTreeMap<EndpointId, Row<E>>,
}

impl<E: Default> Table<E> {
    /// Takes over a new list; rows of missing endpoints stay, closed, until their last request ends.
    pub(crate) fn set(&mut self, targets: &[Candidate]) {
        for row in self.rows.values_mut() {
            row.open = false;
        }
        for target in targets {
            let row = self.rows.entry(target.id.clone()).or_insert_with(|| Row {
                target: target.clone(),
                flying: 0,
                open: true,
                extra: E::default(),
            });
            row.target = target.clone();
            row.open = true;
        }
        self.rows.retain(|_, r| r.open || r.flying > 0);
    }

    pub(crate) fn start(&mut self, id: &EndpointId) -> Option<Candidate> {
        let row = self.rows.get_mut(id)?;
        row.flying += 1;
        Some(row.target.clone())
    }

    pub(crate) fn finish(&mut self, id: &EndpointId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.flying = row.flying.saturating_sub(1);
        }
        self.rows.retain(|_, r| r.open || r.flying > 0);
    }

    pub(crate) fn free(&self) -> u32 {
        let open = self.rows.values().filter(|r| r.open);
        open.map(|r| r.target.slots.saturating_sub(r.flying)).sum()
    }

    pub(crate) fn slots(&self) -> u32 {
        self.rows
            .values()
            .filter(|r| r.open)
            .map(|r| r.target.slots)
            .sum()
    }
}
