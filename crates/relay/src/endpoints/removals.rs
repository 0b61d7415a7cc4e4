//! Endpoints that were removed, and entries that are older than their removal.
//!
//! A write of an endpoint that got no response may be done seconds later, when the endpoint has
//! written again or has left. Its start time and the number of its heartbeat tell how old it is.

use {
    super::Endpoint,
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::EndpointId,
};

/// Time for which a removal is remembered. A late write is done seconds after it was sent, but is
/// read only once the platform can be read again.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);
/// Time after which an outdated entry is believed that is still listed: without heartbeats it would
/// have been removed long before.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// The latest known entry of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EntryStamp {
    /// Start time of the endpoint; zero if the platform doesn't tell it.
    pub(super) born: u64,
    /// Number of its heartbeat; `None` if it was learned from another VM.
    pub(super) sequence: Option<u64>,
}

impl EntryStamp {
    pub(super) fn of(endpoint: &Endpoint) -> Self {
        Self {
            born: endpoint.born,
            sequence: endpoint.sequence,
        }
    }

    /// Whether the entry was written before `known`, which is still listed. Entries of other VMs
    /// were judged by them.
    pub(super) fn precedes(self, known: Self) -> bool {
        if self.sequence.is_none() || known.born == 0 {
            return false;
        }
        self.born < known.born || self.born == known.born && self.sequence < known.sequence
    }
}

/// Whether this VM has read the heartbeats of an endpoint up to its removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Heartbeats {
    /// It has read all of them, or the entry lapsed: a later one is of a running endpoint.
    Read,
    /// Another VM read the platform, and passes on none that change nothing. The next one may be a
    /// late one, and only the one after it tells.
    Unread,
}

#[derive(Debug)]
struct Removal {
    stamp: EntryStamp,
    heartbeats: Heartbeats,
    at: Instant,
}

impl Removal {
    /// Whether an entry may have been written before the removal.
    fn outdates(&self, entry: EntryStamp) -> bool {
        if entry.sequence.is_none() || self.stamp.born == 0 {
            return false;
        }
        let is_renewed =
            self.heartbeats == Heartbeats::Read && entry.sequence > self.stamp.sequence;
        entry.born < self.stamp.born || entry.born == self.stamp.born && !is_renewed
    }
}

/// An outdated entry, as long as it is listed.
#[derive(Debug)]
struct HeldEntry {
    endpoint: Endpoint,
    since: Instant,
}

/// Removals that are remembered, and outdated entries that are listed.
#[derive(Debug, Default)]
pub(super) struct Removals {
    removed: BTreeMap<EndpointId, Removal>,
    held: BTreeMap<EndpointId, HeldEntry>,
}

impl Removals {
    /// Remembers that an endpoint was removed whose latest known entry is `endpoint`.
    pub(super) fn add(&mut self, now: Instant, endpoint: &Endpoint, heartbeats: Heartbeats) {
        let removal = Removal {
            stamp: EntryStamp::of(endpoint),
            heartbeats,
            at: now,
        };
        self.removed.insert(endpoint.id.clone(), removal);
    }

    /// The entry that an endpoint had when it was removed, and the time since.
    pub(super) fn last_of(&self, now: Instant, id: &EndpointId) -> Option<(EntryStamp, Duration)> {
        let removal = self.removed.get(id)?;
        Some((removal.stamp, now.since(removal.at)))
    }

    /// Whether an entry was written before its endpoint was removed.
    pub(super) fn is_outdated(&self, endpoint: &Endpoint) -> bool {
        let removal = self.removed.get(&endpoint.id);
        removal.is_some_and(|r| r.outdates(EntryStamp::of(endpoint)))
    }

    /// Keeps an outdated entry for as long as it is listed. Returns whether it is the first one.
    pub(super) fn hold(&mut self, now: Instant, endpoint: Endpoint) -> bool {
        if let Some(removal) = self.removed.get_mut(&endpoint.id)
            && removal.stamp.born == endpoint.born
        {
            removal.stamp.sequence = removal.stamp.sequence.max(endpoint.sequence);
            removal.heartbeats = Heartbeats::Read;
        }
        let held = self.held.get(&endpoint.id);
        let same = held.filter(|h| h.endpoint.born == endpoint.born);
        let since = same.map_or(now, |h| h.since);
        let is_first = same.is_none();
        let entry = HeldEntry { endpoint, since };
        self.held.insert(entry.endpoint.id.clone(), entry);
        is_first
    }

    /// Forgets an outdated entry that was overwritten or removed.
    pub(super) fn release(&mut self, id: &EndpointId) {
        self.held.remove(id);
    }

    /// Forgets that an endpoint was removed, as it is listed again.
    pub(super) fn forget(&mut self, id: &EndpointId) {
        self.removed.remove(id);
        self.held.remove(id);
    }

    /// Outdated entries that are listed.
    pub(super) fn held_ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.held.keys()
    }

    /// Lets the time for outdated entries begin again: the platform could not be read, so that
    /// removals may have gone unnoticed.
    pub(super) fn restart_holds(&mut self, now: Instant) {
        self.held.values_mut().for_each(|h| h.since = now);
    }

    /// Removes and returns the outdated entries that have stayed listed for so long that their
    /// endpoints must be alive.
    pub(super) fn take_confirmed(&mut self, now: Instant) -> Vec<Endpoint> {
        let is_due = |h: &HeldEntry| now.since(h.since) >= HOLD_TIME;
        let due = self.held.values().filter(|h| is_due(h));
        let due: Vec<_> = due.map(|h| h.endpoint.clone()).collect();
        due.iter().for_each(|e| self.forget(&e.id));
        due
    }

    /// Forgets removals that are long ago.
    pub(super) fn expire(&mut self, now: Instant) {
        let (removed, held) = (&mut self.removed, &self.held);
        removed.retain(|id, r| held.contains_key(id) || now.since(r.at) < REMOVAL_MEMORY);
    }
}
