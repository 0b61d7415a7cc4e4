//! What endpoints have said of themselves, as known to one VM.
//!
//! Notices belong to one start of an endpoint and don't depend on whether it is listed. A departure
//! is final. A time for which an endpoint refuses requests concerns the VM that was told. A limit
//! concerns the whole fleet, and the newest word of any VM counts.

use {
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, PerSecond},
};

/// Time for which notices of an endpoint are remembered after it was removed: longer than any list
/// in use is old.
const MEMORY: Duration = Duration::from_secs(60);
/// Time for which a limit counts without being named again. As long as any VM gets responses of the
/// endpoint, its word is renewed.
const LIMIT_MEMORY: Duration = Duration::from_secs(30);
/// Time for which other VMs are told of a notice.
const TELL_TIME: Duration = Duration::from_secs(3);
/// Largest number of departures that other VMs are told of at a time.
const MAX_DEPARTURES_TOLD: usize = 16;
/// Largest number of limits that other VMs are told of at a time.
const MAX_LIMITS_TOLD: usize = 16;
/// Difference from which a later end of the cold time is news: heartbeats take different times on their
/// way.
const MIN_COLD_CHANGE: Duration = Duration::from_millis(500);

/// What a response says of the endpoint itself.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// The endpoint accepts no new requests and shuts down soon.
    pub leaving: bool,
    /// Time for which the endpoint refuses all requests of this VM.
    pub busy_for: Option<Duration>,
    /// Requests that it takes from all VMs together.
    pub limit: Option<PerSecond>,
    /// Refusals in a second that it bears before it falls over, while the endpoints of its service are
    /// brittle.
    pub brittle: Option<u32>,
    /// Time for which it stays cold.
    pub cold_for: Option<Duration>,
}

/// How an endpoint restricts the requests of this VM.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Restriction {
    /// Until when it refuses all of them.
    pub closed_until: Instant,
    /// Requests that it takes from all VMs together.
    pub limit: Option<PerSecond>,
    /// Until when it is cold.
    pub cold_until: Instant,
}

/// The word of an endpoint on its limit, for other VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The endpoint.
    pub id: EndpointId,
    /// Its start time, in milliseconds since the Unix epoch.
    pub born: u64,
    /// The limit; `None` if it no longer names one.
    pub limit: Option<PerSecond>,
    /// Age of the response that said so, in milliseconds.
    pub age_ms: u64,
}

/// The departure of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Departure {
    since: Instant,
    /// Whether an endpoint's response said so, rather than the platform.
    from_response: bool,
}

/// The newest word of an endpoint on its limit.
#[derive(Debug, Clone, Copy)]
struct Limit {
    value: Option<PerSecond>,
    heard: Instant,
    /// When the value last changed.
    changed: Instant,
    /// When other VMs were last told.
    told: Instant,
    /// Whether a response to this VM said so.
    from_response: bool,
}

/// The notices of one endpoint.
#[derive(Debug, Clone, Default)]
struct Entry {
    /// Start time of the endpoint.
    born: u64,
    updated: Instant,
    departure: Option<Departure>,
    closed_until: Instant,
    limit: Option<Limit>,
    cold_until: Instant,
}

/// What the endpoints have said, by id.
#[derive(Debug, Default)]
pub struct NoticeTable(BTreeMap<EndpointId, Entry>);

impl NoticeTable {
    /// The notices of the endpoint that started at `born`; those of an earlier start are dropped.
    /// `None` if a later start is known.
    fn entry(&mut self, now: Instant, id: &EndpointId, born: u64) -> Option<&mut Entry> {
        let entry = self.0.entry(id.clone()).or_default();
        if entry.born > born {
            return None;
        }
        if entry.born < born {
            *entry = Entry::default();
        }
        entry.born = born;
        entry.updated = now;
        Some(entry)
    }

    fn known(&self, id: &EndpointId, born: u64) -> Option<&Entry> {
        self.0.get(id).filter(|e| e.born == born)
    }

    /// Records that an endpoint leaves. `from_response` tells whether a response said so, to this
    /// VM or to another, rather than the platform.
    pub fn depart(&mut self, now: Instant, id: &EndpointId, born: u64, from_response: bool) {
        if let Some(entry) = self.entry(now, id, born) {
            entry.departure.get_or_insert(Departure {
                since: now,
                from_response,
            });
        }
    }

    /// Whether the endpoint with this start time, or a later one, has said that it leaves.
    pub fn has_left(&self, id: &EndpointId, born: u64) -> bool {
        let entry = self.0.get(id).filter(|e| e.born >= born);
        entry.is_some_and(|e| e.departure.is_some())
    }

    /// Records that an endpoint refuses all requests of this VM until `until`.
    pub fn close(&mut self, now: Instant, id: &EndpointId, born: u64, until: Instant) {
        if let Some(entry) = self.entry(now, id, born) {
            entry.closed_until = entry.closed_until.max(until);
        }
    }

    /// Records the limit in a response to this VM; `None` if it named none. Returns whether the
    /// known limit changed.
    pub fn set_limit(
        &mut self,
        now: Instant,
        endpoint: (&EndpointId, u64),
        limit: Option<PerSecond>,
    ) -> bool {
        self.update_limit(now, endpoint, limit, (now, true))
    }

    /// Records the limit in a response to another VM. Returns whether the known limit changed.
    pub fn learn_limit(&mut self, now: Instant, notice: &LimitNotice) -> bool {
        let heard = now - Duration::from_millis(notice.age_ms);
        self.update_limit(now, (&notice.id, notice.born), notice.limit, (heard, false))
    }

    fn update_limit(
        &mut self,
        now: Instant,
        (id, born): (&EndpointId, u64),
        limit: Option<PerSecond>,
        (heard, from_response): (Instant, bool),
    ) -> bool {
        let known = self.known(id, born).and_then(|e| e.limit);
        if limit.is_none() && known.is_none() {
            return false;
        }
        let Some(entry) = self.entry(now, id, born) else {
            return false;
        };
        let Some(known) = &mut entry.limit else {
            entry.limit = Some(Limit {
                value: limit,
                heard,
                changed: now,
                told: Instant::default(),
                from_response,
            });
            return limit.is_some();
        };
        if heard <= known.heard {
            return false;
        }
        known.heard = heard;
        known.from_response = from_response;
        let changed = known.value != limit;
        if changed {
            known.value = limit;
            known.changed = now;
            known.told = Instant::default();
        }
        changed
    }

    /// Records that the endpoint with this start time is cold until `until`; an earlier end than the
    /// known one has no effect. Returns whether the end moved.
    pub fn set_cold(&mut self, now: Instant, id: &EndpointId, born: u64, until: Instant) -> bool {
        if until <= now {
            return false;
        }
        let Some(entry) = self.entry(now, id, born) else {
            return false;
        };
        let known = entry.cold_until.max(now);
        entry.cold_until = entry.cold_until.max(until);
        until.since(known) >= MIN_COLD_CHANGE
    }

    /// Time for which the endpoint with this start time stays cold.
    pub fn cold_for(&self, now: Instant, id: &EndpointId, born: u64) -> Duration {
        let entry = self.known(id, born);
        entry.map_or(Duration::ZERO, |e| e.cold_until.since(now))
    }

    /// How the endpoint with this start time restricts the requests of this VM.
    pub fn restriction(&self, id: &EndpointId, born: u64) -> Restriction {
        let Some(entry) = self.known(id, born) else {
            return Restriction::default();
        };
        Restriction {
            closed_until: entry.closed_until,
            limit: entry.limit.and_then(|l| l.value),
            cold_until: entry.cold_until,
        }
    }

    /// Whether any endpoint names a limit.
    pub fn has_limits(&self) -> bool {
        let limits = self.0.values().filter_map(|e| e.limit);
        limits.into_iter().any(|l| l.value.is_some())
    }

    /// Endpoints whose responses said lately that they leave, with their start times, for other
    /// VMs.
    pub fn recent_departures(&self, now: Instant) -> Vec<(EndpointId, u64)> {
        let departed = |e: &Entry| {
            let departure = e.departure.filter(|d| d.from_response);
            departure.is_some_and(|d| now.since(d.since) < TELL_TIME)
        };
        let recent = self.0.iter().filter(|(_, e)| departed(e));
        let recent = recent.map(|(id, e)| (id.clone(), e.born));
        recent.take(MAX_DEPARTURES_TOLD).collect()
    }

    /// Limits that were named or ended lately, for other VMs: those in responses to this VM, or all
    /// if it `relays` the word of others. If there are many, those that were not told for longest.
    pub fn tell_limits(&mut self, now: Instant, relays: bool) -> Vec<LimitNotice> {
        let is_recent = |l: &Limit| {
            if !relays && !l.from_response {
                return false;
            }
            let since = if l.value.is_some() {
                l.heard
            } else {
                l.changed
            };
            now.since(since) < TELL_TIME
        };
        let entries = self.0.iter_mut();
        let mut recent: Vec<_> = entries
            .filter_map(|(id, e)| Some((id, e.born, e.limit.as_mut()?)))
            .filter(|(_, _, limit)| is_recent(limit))
            .collect();
        recent.sort_by_key(|(_, _, limit)| limit.told);
        recent.truncate(MAX_LIMITS_TOLD);
        let notices = recent.into_iter().map(|(id, born, limit)| {
            limit.told = now;
            LimitNotice {
                id: id.clone(),
                born,
                limit: limit.value,
                age_ms: u64::try_from(now.since(limit.heard).as_millis()).unwrap_or(u64::MAX),
            }
        });
        notices.collect()
    }

    /// Drops what is out of date; `is_listed` tells whether an endpoint is listed. Returns the
    /// endpoints whose limit ended without word from them.
    pub fn expire(
        &mut self,
        now: Instant,
        is_listed: impl Fn(&EndpointId) -> bool,
    ) -> Vec<EndpointId> {
        self.0
            .retain(|id, e| is_listed(id) || now.since(e.updated) < MEMORY || now < e.closed_until);
        let mut ended = Vec::new();
        for (id, entry) in &mut self.0 {
            let expired = entry.limit.filter(|l| now.since(l.heard) >= LIMIT_MEMORY);
            if let Some(limit) = expired {
                entry.limit = None;
                if limit.value.is_some() {
                    ended.push(id.clone());
                }
            }
        }
        ended
    }
}
