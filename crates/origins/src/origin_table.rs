//! The origins of streams that one VM knows.
//!
//! What is known of a stream only grows: nothing, then a release, then that nobody can know it. Two
//! releases for one stream make it unknown. So the order in which VMs hear of it doesn't matter.

use {
    super::{OriginRecord, StreamKey},
    clock::Instant,
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    types::{Release, ServiceId},
};

/// Largest number of streams: as many as a hash map of 2^17 slots holds.
const MAX_ORIGINS: usize = 114_688;
/// Part of the streams that is dropped when there are too many.
const DROP_DIVISOR: usize = 8;
/// Longest time for which an origin is remembered.
const MAX_ORIGIN_TIME: Duration = Duration::from_secs(3_600);
/// How often others are told that an origin is unknown: who misses it may guess.
const UNKNOWN_TELLS: u8 = 3;
/// Change of the end from which others are told again.
const END_STEP: Duration = Duration::from_secs(1);

/// What is known of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Known {
    /// It began at this release.
    Release(Release),
    /// Nobody can know the release.
    Unknown,
}

/// The release that a stream began at.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The service.
    pub service: ServiceId,
    /// The release; `None` if nobody can know it.
    pub release: Option<Release>,
}

#[derive(Debug)]
struct Entry {
    origin: Arc<Origin>,
    until: Instant,
    /// Whether this VM served it.
    own: bool,
    /// How often others still have to be told.
    tells: u8,
}

/// Origins by stream.
#[derive(Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    /// Each origin is stored once for all streams.
    origins: BTreeSet<Arc<Origin>>,
    /// Streams that others have to be told of: those with news first, then those to be told again.
    untold: VecDeque<StreamKey>,
    retold: VecDeque<StreamKey>,
}

impl OriginTable {
    /// Number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a stream that this VM began or joined. It may be the same stream as before.
    pub fn record(&mut self, now: Instant, key: StreamKey, origin: &Origin, until: Instant) {
        let changed = self.merge(now, key, origin, until);
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let is_first = !std::mem::replace(&mut entry.own, true);
        if changed || is_first {
            self.queue(key);
        }
    }

    /// Applies what another VM told; returns whether it was news.
    pub fn learn(&mut self, now: Instant, record: &OriginRecord) -> bool {
        let origin = Origin {
            service: record.service.clone(),
            release: record.release.clone(),
        };
        let until = now + Duration::from_millis(u64::from(record.ends_ms));
        until > now && self.merge(now, record.key, &origin, until)
    }

    /// Adds what is known of a stream; returns whether others have to know of the change.
    fn merge(&mut self, now: Instant, key: StreamKey, origin: &Origin, until: Instant) -> bool {
        let until = until.min(now + MAX_ORIGIN_TIME);
        let known = self.entries.get(&key).filter(|e| e.until > now);
        let origin = match known {
            Some(entry) if entry.origin.release == origin.release => entry.origin.clone(),
            Some(entry) => self.intern(Origin {
                release: None,
                ..(*entry.origin).clone()
            }),
            None => self.intern(origin.clone()),
        };
        if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.until > now) {
            let changed = entry.origin != origin || until > entry.until + END_STEP;
            entry.origin = origin;
            entry.until = entry.until.max(until);
            return changed;
        }
        if self.entries.len() >= MAX_ORIGINS {
            self.shrink(now);
        }
        let entry = Entry {
            origin,
            until,
            own: false,
            tells: 0,
        };
        self.entries.insert(key, entry);
        true
    }

    fn intern(&mut self, origin: Origin) -> Arc<Origin> {
        if let Some(known) = self.origins.get(&origin) {
            return known.clone();
        }
        let origin = Arc::new(origin);
        self.origins.insert(origin.clone());
        origin
    }

    /// Makes room: drops the streams that end soonest, and unknown ones last, as they'd be guessed.
    fn shrink(&mut self, now: Instant) {
        self.expire(now);
        if self.entries.len() <= MAX_ORIGINS - MAX_ORIGINS / DROP_DIVISOR {
            return;
        }
        let rank = |e: &Entry| (e.origin.release.is_none(), e.until);
        let mut ranks: Vec<_> = self.entries.values().map(rank).collect();
        let (_, limit, _) = ranks.select_nth_unstable(MAX_ORIGINS / DROP_DIVISOR);
        let limit = *limit;
        self.entries.retain(|_, e| rank(e) > limit);
    }

    /// What is known of a stream.
    pub fn find(&self, now: Instant, key: &StreamKey) -> Option<Known> {
        let entry = self.entries.get(key).filter(|e| e.until > now)?;
        let release = entry.origin.release.clone();
        Some(release.map_or(Known::Unknown, Known::Release))
    }

    /// What others are told of a stream.
    pub fn tell(&self, now: Instant, key: &StreamKey) -> Option<OriginRecord> {
        let entry = self.entries.get(key).filter(|e| e.until > now)?;
        let left = entry.until.since(now).as_millis();
        Some(OriginRecord {
            key: *key,
            service: entry.origin.service.clone(),
            release: entry.origin.release.clone(),
            ends_ms: u32::try_from(left).unwrap_or(u32::MAX),
        })
    }

    /// Has others told of a stream.
    fn queue(&mut self, key: StreamKey) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let is_unknown = entry.origin.release.is_none();
        entry.tells = if is_unknown { UNKNOWN_TELLS } else { 1 };
        if self.untold.len() >= MAX_ORIGINS {
            self.untold.pop_front();
        }
        self.untold.push_back(key);
    }

    /// Keeps others from being told of a stream for now.
    pub(crate) fn withhold(&mut self, key: &StreamKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.tells = 0;
        }
    }

    /// Has others told again of all own streams of the services, those first that end last.
    pub fn mark_untold(&mut self, now: Instant, services: impl Fn(&ServiceId) -> bool) {
        let mut keys = Vec::new();
        for (key, entry) in &mut self.entries {
            let is_due = entry.own && entry.until > now && entry.tells == 0;
            if is_due && services(&entry.origin.service) {
                entry.tells = 1;
                keys.push((entry.until, *key));
            }
        }
        keys.sort_unstable_by(|a, b| b.cmp(a));
        self.retold.extend(keys.into_iter().map(|(_, key)| key));
    }

    /// Whether there are streams with news, or with `again` those to be told again.
    pub fn has_untold(&self, again: bool) -> bool {
        !self.untold.is_empty() || again && !self.retold.is_empty()
    }

    /// Takes streams that others have to be told of, at most `max`: those with news, and with `again`
    /// those to be told again. Others needn't know the origins that `is_needless` holds for.
    pub fn take_untold(
        &mut self,
        now: Instant,
        max: usize,
        again: bool,
        is_needless: impl Fn(&Origin) -> bool,
    ) -> Vec<OriginRecord> {
        let mut records = Vec::new();
        let mut repeats = Vec::new();
        while records.len() < max {
            let retold = &mut self.retold;
            let next = self.untold.pop_front();
            let next = next.or_else(|| again.then(|| retold.pop_front()).flatten());
            let Some(key) = next else {
                break;
            };
            let Some(entry) = self.entries.get_mut(&key).filter(|e| e.tells > 0) else {
                continue;
            };
            if is_needless(&entry.origin) {
                entry.tells = 0;
                continue;
            }
            entry.tells -= 1;
            if entry.tells > 0 {
                repeats.push(key);
            }
            records.extend(self.tell(now, &key));
        }
        self.untold.extend(repeats);
        records
    }

    /// Drops streams that can no longer be resumed.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, e| e.until > now);
        self.origins.retain(|o| Arc::strong_count(o) > 1);
    }
}
