//! The endpoint list, with a grace period for entries that expired during an outage of the
//! platform.
//!
//! Endpoints renew their entries by heartbeats. In an outage the heartbeats fail, so that the entry
//! of a running endpoint may expire and be removed. Such a lapsed entry is kept for a while.
//!
//! A read after an outage cannot tell a lapsed entry from that of an endpoint that has left right
//! after the platform's return. The grace period therefore begins with the last failed read, before
//! which the platform cannot have acknowledged that an endpoint leaves. An entry cannot have lapsed
//! while another VM was able to read the list.
//!
//! An endpoint that leaves never returns under the same start time. Whatever said so first, the
//! platform, the endpoint's own responses or another VM, an older list doesn't reopen it. Neither does
//! an entry that was written before its endpoint was removed, or before the entry that is listed.

use {
    super::{
        Endpoint,
        removals::{EntryStamp, Heartbeats, Removals},
    },
    clock::Instant,
    route::{LimitNotice, NoticeTable, Restriction},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{EndpointId, PerSecond},
};

/// Shortest outage in which entries lapse: three heartbeat intervals of the endpoints.
pub(crate) const MIN_LAPSE_OUTAGE: Duration = Duration::from_secs(3);
/// Time that a lapsed entry is still used after the last failed read. Running endpoints are listed
/// again within two seconds of the platform's return.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Effect of a change on the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// No effect on the choice of endpoints.
    None,
    /// The endpoint was added.
    Added,
    /// Properties of the endpoint changed.
    Changed,
    /// The endpoint stopped accepting new requests.
    Leaving,
    /// The endpoint was removed.
    Removed,
    /// The entry lapsed in an outage; it is kept until it is listed again or the grace period ends.
    Lapsed,
    /// The entry is older than what is known of its endpoint, and has no effect as yet.
    Outdated,
}

#[derive(Debug, Clone)]
struct Row {
    endpoint: Endpoint,
    /// When a lapsed entry is dropped unless it is listed again.
    expires: Option<Instant>,
}

/// The endpoints that the platform lists, and lapsed ones.
#[derive(Debug, Default)]
pub struct Registry {
    rows: BTreeMap<EndpointId, Row>,
    removals: Removals,
    /// What the endpoints have said of themselves, listed or not.
    notices: NoticeTable,
    /// First and last failed read since the last successful one.
    failed_reads: Option<(Instant, Instant)>,
    /// When entries that expired during the last outage are dropped, while a removal may be such an
    /// expiry.
    lapse_end: Option<Instant>,
}

impl Registry {
    /// Records that a read of the list failed that was sent at `sent`.
    pub fn read_failed(&mut self, sent: Instant) {
        let first = self.failed_reads.map_or(sent, |(first, _)| first);
        self.failed_reads = Some((first, sent));
    }

    /// When the first of the reads was sent that have failed since the last successful one.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failed_reads.map(|(first, _)| first)
    }

    /// Records that a read succeeded; call it before applying the changes of the read. With
    /// `read_by_others`, other VMs were able to read the list while the reads of this one failed.
    pub fn read_succeeded(&mut self, now: Instant, read_by_others: bool) {
        let failed = self.failed_reads.take();
        let outage = failed.filter(|(first, _)| now.since(*first) >= MIN_LAPSE_OUTAGE);
        if outage.is_some() {
            self.removals.restart_holds(now);
        }
        let outage = outage.filter(|_| !read_by_others);
        self.lapse_end = outage.map(|(_, last)| last + LAPSE_GRACE);
    }

    /// Records that all changes of a read were applied. Later removals don't stem from the outage
    /// before.
    pub fn read_applied(&mut self) {
        self.lapse_end = None;
    }

    /// Adds or updates an endpoint, unless the entry is outdated. One that leaves stays closed until
    /// it is listed with a later start time.
    pub fn upsert(&mut self, now: Instant, endpoint: Endpoint) -> RegistryChange {
        let row = self.rows.get(&endpoint.id);
        let known = row.map(|r| EntryStamp::of(&r.endpoint));
        if known.is_some_and(|k| EntryStamp::of(&endpoint).precedes(k)) {
            let lapsed = row.is_some_and(|r| r.expires.is_some());
            if known.is_some_and(|k| k.born == endpoint.born) && !lapsed {
                return RegistryChange::None;
            }
            return self.hold(now, endpoint);
        }
        if self.removals.is_outdated(&endpoint) {
            return self.hold(now, endpoint);
        }
        self.list(now, endpoint)
    }

    /// Keeps an outdated entry aside.
    fn hold(&mut self, now: Instant, endpoint: Endpoint) -> RegistryChange {
        if self.removals.hold(now, endpoint) {
            return RegistryChange::Outdated;
        }
        RegistryChange::None
    }

    /// Lists outdated entries that were not removed in the time in which those of ended endpoints
    /// are, and returns their ids.
    pub fn list_confirmed(&mut self, now: Instant) -> Vec<(EndpointId, RegistryChange)> {
        if self.failed_reads.is_some() {
            // The entry may have been removed meanwhile.
            return Vec::new();
        }
        let confirmed = self.removals.take_confirmed(now).into_iter();
        let listed = confirmed.map(|endpoint| {
            let id = endpoint.id.clone();
            (id, self.list(now, endpoint))
        });
        listed.collect()
    }

    fn list(&mut self, now: Instant, mut endpoint: Endpoint) -> RegistryChange {
        let row = self.rows.get(&endpoint.id);
        let listed = row.map(|r| EntryStamp::of(&r.endpoint));
        let removed = self.removals.last_of(now, &endpoint.id).map(|(s, _)| s);
        // Other VMs don't tell the number.
        let known = listed.or(removed).filter(|k| k.born == endpoint.born);
        endpoint.sequence = endpoint.sequence.max(known.and_then(|k| k.sequence));
        self.removals.forget(&endpoint.id);
        endpoint.leaving |= self.notices.has_left(&endpoint.id, endpoint.born);
        if endpoint.leaving {
            self.notices.depart(now, &endpoint.id, endpoint.born, false);
        }
        let row = Row {
            endpoint,
            expires: None,
        };
        let leaving = row.endpoint.leaving;
        let id = row.endpoint.id.clone();
        let (born, cold) = (row.endpoint.born, row.endpoint.cold);
        let cooled = self.notices.set_cold(now, &id, born, now + cold);
        match self.rows.insert(id, row.clone()) {
            None => RegistryChange::Added,
            Some(old) if leaving && !old.endpoint.leaving => RegistryChange::Leaving,
            Some(old) if cooled || differs(&old.endpoint, &row.endpoint) => RegistryChange::Changed,
            Some(_) => RegistryChange::None,
        }
    }

    /// Records that a response of the endpoint with this start time, or another VM that got one,
    /// said that it leaves.
    pub fn mark_leaving(&mut self, now: Instant, id: &EndpointId, born: u64) -> RegistryChange {
        self.notices.depart(now, id, born, true);
        match self.rows.get_mut(id) {
            Some(row) if row.endpoint.born <= born && !row.endpoint.leaving => {
                row.endpoint.leaving = true;
                RegistryChange::Leaving
            }
            _ => RegistryChange::None,
        }
    }

    /// Whether the endpoint with this start time, or a later one, is known to leave.
    pub fn has_left(&self, id: &EndpointId, born: u64) -> bool {
        self.notices.has_left(id, born)
    }

    /// Records that the endpoint with this start time refuses all requests of this VM until `until`.
    pub fn close(&mut self, now: Instant, id: &EndpointId, born: u64, until: Instant) {
        self.notices.close(now, id, born, until);
    }

    /// Records the limit that the endpoint with this start time named in a response to this VM.
    /// Returns whether the known limit changed.
    pub fn set_limit(
        &mut self,
        now: Instant,
        endpoint: (&EndpointId, u64),
        limit: Option<PerSecond>,
    ) -> bool {
        self.notices.set_limit(now, endpoint, limit)
    }

    /// Records a limit that an endpoint named in a response to another VM. Returns whether the known
    /// limit changed.
    pub fn learn_limit(&mut self, now: Instant, notice: &LimitNotice) -> bool {
        self.notices.learn_limit(now, notice)
    }

    /// Records that a response of the endpoint with this start time said that it stays cold until
    /// `until`. Returns whether the end moved.
    pub fn set_cold(&mut self, now: Instant, id: &EndpointId, born: u64, until: Instant) -> bool {
        self.notices.set_cold(now, id, born, until)
    }

    /// The entry as sent to other VMs, with the remaining time for which it stays cold.
    pub(crate) fn for_peers(&self, now: Instant, endpoint: &Endpoint) -> Endpoint {
        Endpoint {
            cold: self.notices.cold_for(now, &endpoint.id, endpoint.born),
            ..endpoint.clone()
        }
    }

    /// How an endpoint has restricted the requests of this VM.
    pub fn restriction(&self, id: &EndpointId) -> Restriction {
        let row = self.rows.get(id);
        row.map(|r| self.notices.restriction(id, r.endpoint.born))
            .unwrap_or_default()
    }

    /// Whether any endpoint names a limit.
    pub fn has_limits(&self) -> bool {
        self.notices.has_limits()
    }

    /// Endpoints whose responses said lately that they leave, with their start times, for other
    /// VMs.
    pub fn recent_departures(&self, now: Instant) -> Vec<(EndpointId, u64)> {
        self.notices.recent_departures(now)
    }

    /// Limits that endpoints named or ended lately, for other VMs: those in responses to this VM, or
    /// all if it `relays` the word of others.
    pub fn tell_limits(&mut self, now: Instant, relays: bool) -> Vec<LimitNotice> {
        self.notices.tell_limits(now, relays)
    }

    /// Removes an entry whose removal was read, or marks it as lapsed if it may have expired in an
    /// outage.
    pub fn remove(&mut self, now: Instant, id: &EndpointId) -> RegistryChange {
        self.remove_or_lapse(now, id, Heartbeats::Read)
    }

    /// The same for an entry that is absent from a complete list.
    pub fn remove_absent(&mut self, now: Instant, id: &EndpointId) -> RegistryChange {
        self.remove_or_lapse(now, id, Heartbeats::Unread)
    }

    fn remove_or_lapse(
        &mut self,
        now: Instant,
        id: &EndpointId,
        heartbeats: Heartbeats,
    ) -> RegistryChange {
        let lapse_end = self.lapse_end.filter(|end| now < *end);
        if lapse_end.is_some()
            && let Some(row) = self.rows.get_mut(id)
            && !row.endpoint.leaving
        {
            self.removals.release(id);
            row.expires = lapse_end;
            return RegistryChange::Lapsed;
        }
        self.remove_row(now, id, heartbeats)
    }

    fn remove_row(
        &mut self,
        now: Instant,
        id: &EndpointId,
        heartbeats: Heartbeats,
    ) -> RegistryChange {
        self.removals.release(id);
        let Some(row) = self.rows.remove(id) else {
            return RegistryChange::None;
        };
        self.removals.add(now, &row.endpoint, heartbeats);
        RegistryChange::Removed
    }

    /// The latest known start and heartbeat of an endpoint that was removed, and the time since.
    pub(crate) fn last_removal(
        &self,
        now: Instant,
        id: &EndpointId,
    ) -> Option<(u64, u64, Duration)> {
        let (stamp, since) = self.removals.last_of(now, id)?;
        Some((stamp.born, stamp.sequence.unwrap_or_default(), since))
    }

    /// Removes an entry without a grace period, because the VM that reads the platform for this one
    /// has already applied it.
    pub fn remove_now(&mut self, now: Instant, id: &EndpointId) -> RegistryChange {
        self.remove_row(now, id, Heartbeats::Unread)
    }

    /// Entries that are absent from `listed`, a complete list.
    pub fn absent_from(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        let known = self.rows.keys().chain(self.removals.held_ids());
        let absent: BTreeSet<_> = known.filter(|id| !listed.contains(id)).collect();
        absent.into_iter().cloned().collect()
    }

    /// Removes lapsed entries whose grace period has ended, and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let rows = self.rows.iter();
        let due = rows.filter(|(_, r)| r.expires.is_some_and(|at| at <= now));
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            // Without a number a late entry can't be told from that of a running endpoint, which
            // has to be listed at once.
            if let Some(row) = self.rows.remove(id)
                && row.endpoint.sequence.is_some()
            {
                self.removals.add(now, &row.endpoint, Heartbeats::Read);
            }
        }
        due
    }

    /// Drops what endpoints have said long ago, and returns those whose limit ended thereby.
    pub fn expire_notices(&mut self, now: Instant) -> Vec<EndpointId> {
        self.removals.expire(now);
        let rows = &self.rows;
        self.notices.expire(now, |id| rows.contains_key(id))
    }

    /// Whether the list has no lapsed entries. While it has, other VMs must not take it for the
    /// platform's list.
    pub fn is_settled(&self) -> bool {
        self.rows.values().all(|r| r.expires.is_none())
    }

    /// All endpoints, lapsed ones included.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().map(|r| &r.endpoint)
    }

    /// A listed endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.rows.get(id).map(|row| &row.endpoint)
    }

    /// An endpoint that accepts new requests.
    pub fn accepting(&self, id: &EndpointId) -> Option<&Endpoint> {
        let row = self.rows.get(id)?;
        (!row.endpoint.leaving).then_some(&row.endpoint)
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

fn differs(a: &Endpoint, b: &Endpoint) -> bool {
    (&a.service, a.addr, a.slots, a.leaving, a.born, &a.release)
        != (&b.service, b.addr, b.slots, b.leaving, b.born, &b.release)
}
