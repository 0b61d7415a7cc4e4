//! The list of endpoints, and what is believed of entries that lapsed in an outage of the platform.

use {
    super::Endpoint,
    clock::Stamp,
    std::{collections::BTreeMap, time::Duration},
    types::EndpointId,
};

/// Shortest outage in which entries lapse: three heartbeats of endpoints.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_secs(3);
/// Time that an entry which lapsed in an outage is still used after the platform's return: living
/// endpoints are listed again within two seconds.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// What a change did to the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that matters for choosing endpoints.
    None,
    /// The endpoint is new.
    Added,
    /// The endpoint's facts changed.
    Changed,
    /// The endpoint takes no new work any more.
    Leaving,
    /// The endpoint is gone.
    Removed,
    /// The entry lapsed in an outage; it is kept until it is listed again or the grace ends.
    Lapsed,
}

#[derive(Debug, Clone)]
struct Row {
    endpoint: Endpoint,
    /// When the entry is dropped unless it is listed again.
    expires: Option<Stamp>,
}

/// Listed endpoints.
#[derive(Debug, Default)]
pub struct Registry {
    rows: BTreeMap<EndpointId, Row>,
    /// Since when the list cannot be read.
    outage_since: Option<Stamp>,
    /// Whether removals may be those of entries that lapsed in an outage.
    lapse_possible: bool,
}

impl Registry {
    /// Tells that the list could not be read.
    pub fn read_failed(&mut self, now: Stamp) {
        self.outage_since.get_or_insert(now);
    }

    /// Tells that the list was read; the changes of this read follow.
    pub fn read_succeeded(&mut self, now: Stamp) {
        let since = self.outage_since.take();
        self.lapse_possible = since.is_some_and(|since| now.since(since) >= MIN_LAPSE_OUTAGE);
    }

    /// Tells that all changes of a read were taken in. Later removals are no lapses of the outage before.
    pub fn read_applied(&mut self) {
        self.lapse_possible = false;
    }

    /// Takes in a listed endpoint.
    pub fn upsert(&mut self, endpoint: Endpoint) -> RegistryChange {
        let row = Row {
            endpoint,
            expires: None,
        };
        let leaving = row.endpoint.leaving;
        let id = row.endpoint.id.clone();
        match self.rows.insert(id, row.clone()) {
            None => RegistryChange::Added,
            Some(old) if leaving && !old.endpoint.leaving => RegistryChange::Leaving,
            Some(old) if differs(&old.endpoint, &row.endpoint) => RegistryChange::Changed,
            Some(_) => RegistryChange::None,
        }
    }

    /// Takes in the removal of an entry.
    pub fn remove(&mut self, now: Stamp, id: &EndpointId) -> RegistryChange {
        let lapse_possible = self.lapse_possible;
        let Some(row) = self.rows.get_mut(id) else {
            return RegistryChange::None;
        };
        if lapse_possible && !row.endpoint.leaving {
            row.expires = Some(now + LAPSE_GRACE);
            return RegistryChange::Lapsed;
        }
        self.rows.remove(id);
        RegistryChange::Removed
    }

    /// Removes an entry that another VM has given up, after its own grace if there was one.
    pub fn remove_now(&mut self, id: &EndpointId) -> RegistryChange {
        match self.rows.remove(id) {
            Some(_) => RegistryChange::Removed,
            None => RegistryChange::None,
        }
    }

    /// Entries that are not among `listed`, as after a read of the whole list.
    pub fn absent_from(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        let absent = self.rows.keys().filter(|id| !listed.contains(id));
        absent.cloned().collect()
    }

    /// Drops lapsed entries whose grace is over; returns them.
    pub fn expire(&mut self, now: Stamp) -> Vec<EndpointId> {
        let rows = self.rows.iter();
        let due = rows.filter(|(_, r)| r.expires.is_some_and(|at| at <= now));
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.rows.remove(id);
        }
        due
    }

    /// Whether no entry lapsed that may come back; until then others must not take this list for the
    /// platform's.
    pub fn is_settled(&self) -> bool {
        self.rows.values().all(|r| r.expires.is_none())
    }

    /// All listed endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().map(|r| &r.endpoint)
    }

    /// An endpoint that takes work.
    pub fn accepting(&self, id: &EndpointId) -> Option<&Endpoint> {
        let row = self.rows.get(id)?;
        (!row.endpoint.leaving).then_some(&row.endpoint)
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

fn differs(a: &Endpoint, b: &Endpoint) -> bool {
    (&a.service, a.addr, a.slots, a.leaving, a.born)
        != (&b.service, b.addr, b.slots, b.leaving, b.born)
}
