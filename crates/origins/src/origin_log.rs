//! A VM's part of the log of origins on the platform.
//!
//! The records of releases name the origin of a stream that isn't logged. A stream that starts elsewhere is logged before its
//! first event reaches the caller, so that other VMs can rely on the records if the VM that served it is gone. Streams are
//! logged only while the records allow several origins for them.

use {
    super::{Origin, OriginNews, OriginRecord, StreamKey},
    clock::Instant,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Largest number of streams in a segment, and time in which they are added. A segment is written whole when it changes.
const SEGMENT_STREAMS: usize = 48;
const SEGMENT_TIME: Duration = Duration::from_secs(10);
/// Largest number of streams in the log of a VM. Beyond it, only those are added whose callers wait for it.
const MAX_STREAMS: usize = 16_384;
/// Interval of writes of streams whose callers don't wait for them.
const DEFERRED_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of writes for each VM of the fleet: all VMs together write 250 times a second at most.
const INTERVAL_PER_VM: Duration = Duration::from_millis(4);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time after a failed write, and duration of a write, after which the log counts as unavailable.
const FAILURE_TIME: Duration = Duration::from_secs(1);
const SLOW_WRITE: Duration = Duration::from_millis(400);

/// Whether the origin of a new stream has to be logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogNeed {
    /// No: the records imply it.
    #[default]
    None,
    /// Yes, as the records tell nothing. Its first event doesn't wait.
    Deferred,
    /// Yes, before its first event reaches the caller: the records imply another one.
    BeforeStart,
}

/// Records to write, by number of their segment. One without origins deletes its segment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogWrite {
    /// The segments.
    pub segments: BTreeMap<u64, OriginNews>,
}

/// Origins that were read from the log. The origin of a stream is unknown if segments differ: a write whose outcome was unknown
/// may be done late.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoggedOrigins(BTreeMap<StreamKey, OriginRecord>);

impl LoggedOrigins {
    /// Adds a segment.
    pub fn add(&mut self, segment: OriginNews) {
        for record in segment.origins {
            let known = self.0.entry(record.key).or_insert_with(|| record.clone());
            if (&known.service, &known.release) != (&record.service, &record.release) {
                known.release = None;
            }
        }
    }

    /// The origin of a stream that is logged.
    pub fn origin(&self, key: &StreamKey) -> Option<Origin> {
        let record = self.0.get(key)?;
        Some(Origin {
            service: record.service.clone(),
            release: record.release.clone(),
        })
    }

    pub(crate) fn get(&self, key: &StreamKey) -> Option<&OriginRecord> {
        self.0.get(key)
    }
}

#[derive(Debug)]
struct Entry {
    origin: Origin,
    until: Instant,
    /// Number of the change that added it.
    change: u64,
    /// Whether the first event waits for the write.
    is_urgent: bool,
    /// Whether an ended write has stored it, or may have.
    may_be_stored: bool,
}

#[derive(Debug)]
struct Segment {
    begun: Instant,
    streams: BTreeMap<StreamKey, Entry>,
    /// Number of its last change.
    change: u64,
    is_stored: bool,
}

/// The streams that a VM logs.
#[derive(Debug, Default)]
pub(crate) struct OriginLog {
    segments: BTreeMap<u64, Segment>,
    /// The segment of each stream.
    index: HashMap<StreamKey, u64>,
    /// Number of the next segment. Numbers are never reused, since a write whose outcome was unknown may be done late.
    next: u64,
    /// Segments that have to be deleted, and those that the write in progress deletes.
    removed: Vec<u64>,
    deleting: Vec<u64>,
    /// Number of the last change, of the last one that a caller waits for, and of the last durable one.
    last: u64,
    urgent: u64,
    durable: u64,
    /// The write in progress: its last change and its start.
    writing: Option<(u64, Instant)>,
    last_write: Instant,
    failed: Option<Instant>,
    /// Shortest interval of writes.
    interval: Duration,
}

impl OriginLog {
    /// Sets the number of VMs that share the log.
    pub(crate) fn set_fleet(&mut self, vms: u32) {
        self.interval = INTERVAL_PER_VM.saturating_mul(vms);
    }

    fn entry(&self, key: &StreamKey) -> Option<&Entry> {
        let segment = self.segments.get(self.index.get(key)?)?;
        segment.streams.get(key)
    }

    fn entry_mut(&mut self, key: &StreamKey) -> Option<&mut Entry> {
        let segment = self.segments.get_mut(self.index.get(key)?)?;
        segment.streams.get_mut(key)
    }

    /// Whether the log may hold another origin for a stream.
    pub(crate) fn may_hold_other(&self, key: &StreamKey, origin: &Origin) -> bool {
        let is_written = |change| self.writing.is_some_and(|(last, _)| change <= last);
        let entry = self.entry(key).filter(|e| e.origin != *origin);
        entry.is_some_and(|e| e.may_be_stored || is_written(e.change))
    }

    /// Drops a stream unless the log may hold it.
    pub(crate) fn remove(&mut self, key: &StreamKey) {
        if self.entry(key).is_none_or(|e| e.may_be_stored) {
            return;
        }
        let at = self.index.remove(key);
        if let Some(segment) = at.and_then(|at| self.segments.get_mut(&at)) {
            segment.streams.remove(key);
        }
    }

    /// Adds a stream, which replaces an earlier entry: no event of that one reached the caller. `is_urgent` tells whether its
    /// first event waits for the write.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        key: StreamKey,
        origin: &Origin,
        until: Instant,
        is_urgent: bool,
    ) {
        if let Some(entry) = self.entry_mut(&key)
            && entry.origin == *origin
            && entry.is_urgent >= is_urgent
        {
            entry.is_urgent = is_urgent;
            return;
        }
        if !is_urgent && self.index.len() >= MAX_STREAMS {
            return;
        }
        let entry = Entry {
            origin: origin.clone(),
            until,
            change: 0,
            is_urgent,
            may_be_stored: false,
        };
        self.insert(now, key, entry);
    }

    fn insert(&mut self, now: Instant, key: StreamKey, entry: Entry) {
        self.last += 1;
        let change = self.last;
        if entry.is_urgent {
            self.urgent = change;
        }
        let at = self.index.get(&key).copied();
        let at = at.unwrap_or_else(|| self.open_segment(now));
        self.index.insert(key, at);
        let segment = self.segments.entry(at).or_insert_with(|| Segment {
            begun: now,
            streams: BTreeMap::new(),
            change,
            is_stored: false,
        });
        segment.change = change;
        segment.streams.insert(key, Entry { change, ..entry });
    }

    /// The segment that takes new streams.
    fn open_segment(&mut self, now: Instant) -> u64 {
        if let Some((at, segment)) = self.segments.last_key_value()
            && segment.streams.len() < SEGMENT_STREAMS
            && now.since(segment.begun) < SEGMENT_TIME
        {
            return *at;
        }
        self.next += 1;
        self.next
    }

    /// Whether the first event of a stream still has to wait.
    pub(crate) fn is_pending(&self, key: &StreamKey) -> bool {
        let entry = self.entry(key);
        entry.is_some_and(|entry| entry.is_urgent && entry.change > self.durable)
    }

    /// Whether a stream that is added now is likely to be logged soon.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        let is_failing = self.failed.is_some_and(|at| now.since(at) < FAILURE_TIME);
        let is_slow = self
            .writing
            .is_some_and(|(_, since)| now.since(since) >= SLOW_WRITE);
        !is_failing && !is_slow
    }

    /// When there is something to write; `None` if there is nothing, or a write is in progress.
    pub(crate) fn write_due(&self) -> Option<Instant> {
        let has_changes = self.last > self.durable || !self.removed.is_empty();
        if self.writing.is_some() || !has_changes {
            return None;
        }
        let interval = match self.urgent > self.durable {
            true => self.interval,
            false => self.interval.max(DEFERRED_INTERVAL),
        };
        let retry = self
            .failed
            .map_or(Instant::default(), |at| at + RETRY_PAUSE);
        Some(retry.max(self.last_write + interval))
    }

    /// Takes what has to be written now.
    pub(crate) fn take_write(&mut self, now: Instant) -> Option<LogWrite> {
        if self.write_due().is_none_or(|due| now < due) {
            return None;
        }
        let mut write = LogWrite::default();
        self.deleting = std::mem::take(&mut self.removed);
        for at in &self.deleting {
            write.segments.insert(*at, OriginNews::default());
        }
        let changed = self
            .segments
            .iter()
            .filter(|(_, s)| s.change > self.durable);
        for (at, segment) in changed {
            let streams = segment.streams.iter();
            let origins = streams.map(|(key, entry)| OriginRecord {
                key: *key,
                service: entry.origin.service.clone(),
                release: entry.origin.release.clone(),
                ends_ms: u32::try_from(entry.until.since(now).as_millis()).unwrap_or(u32::MAX),
            });
            let news = OriginNews {
                origins: origins.collect(),
                ..OriginNews::default()
            };
            write.segments.insert(*at, news);
        }
        if write.segments.is_empty() {
            self.durable = self.last;
            return None;
        }
        self.writing = Some((self.last, now));
        self.last_write = now;
        Some(write)
    }

    /// Notes that the write in progress was done.
    pub(crate) fn written(&mut self) {
        let Some((change, _)) = self.writing.take() else {
            return;
        };
        self.note_stored(change);
        self.durable = change;
        self.failed = None;
        self.deleting.clear();
    }

    /// Marks what a write up to a change has stored, or may have.
    fn note_stored(&mut self, change: u64) {
        for segment in self.segments.values_mut() {
            let streams = segment.streams.values_mut();
            for entry in streams.filter(|e| e.change <= change) {
                entry.may_be_stored = true;
                segment.is_stored = true;
            }
        }
    }

    /// Notes that the write in progress has failed. Unless that `is_certain` it may still be done, even after the next one, which
    /// therefore writes other segments and deletes these.
    pub(crate) fn failed(&mut self, now: Instant, is_certain: bool) {
        let Some((change, _)) = self.writing.take() else {
            return;
        };
        self.failed = Some(now);
        if !is_certain {
            self.note_stored(change);
        }
        self.removed.append(&mut self.deleting);
        let changed = self
            .segments
            .iter()
            .filter(|(_, s)| s.change > self.durable);
        let changed: Vec<_> = changed.map(|(at, _)| *at).collect();
        for at in changed {
            let Some(segment) = self.segments.remove(&at) else {
                continue;
            };
            self.removed.push(at);
            for (key, entry) in segment.streams {
                self.index.remove(&key);
                let is_urgent = entry.is_urgent && entry.change > self.durable;
                self.insert(now, key, Entry { is_urgent, ..entry });
            }
        }
    }

    /// Drops segments whose streams can no longer be resumed.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.writing.is_some() {
            return;
        }
        let has_ended = |segment: &Segment| segment.streams.values().all(|e| e.until <= now);
        let ended = self.segments.iter().filter(|(_, s)| has_ended(s));
        let ended: Vec<_> = ended.map(|(at, _)| *at).collect();
        for at in ended {
            let Some(segment) = self.segments.remove(&at) else {
                continue;
            };
            segment
                .streams
                .keys()
                .for_each(|key| _ = self.index.remove(key));
            if segment.is_stored {
                self.removed.push(at);
            }
        }
    }
}

#[cfg(test)]
#[path = "origin_log_tests.rs"]
mod tests;
