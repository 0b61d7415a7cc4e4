//! Keeps the platform's records of the releases up to date, and restores the history of releases from them after a restart.

use {
    super::{Origins, ReleaseRecord},
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{Era, LogPosition, Release, ServiceId},
};

/// Time after which records are read again although nothing has changed: the store may have started a new era.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);
/// Pauses after a failed call and after a conflicting write.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const CONFLICT_PAUSE: Duration = Duration::from_millis(100);

/// What has to be done now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerStep {
    /// Nothing.
    Wait,
    /// Read all records.
    Read,
    /// Write the record of a service if the topic still ends at this offset.
    Write(ServiceId, ReleaseRecord, u64),
}

/// The releases of services that are listed.
type Listed = BTreeSet<(ServiceId, Option<Release>)>;

/// What was known when the records were read.
#[derive(Debug)]
struct LastRead {
    at: Instant,
    /// Since when the list had been observed.
    observed: Option<Instant>,
    listed: Listed,
}

/// What one VM that reads the platform knows of the records there.
#[derive(Debug)]
pub struct ReleaseLedger {
    /// Delay of this VM's writes, so that the VMs don't all write the same record.
    jitter: Duration,
    stored: BTreeMap<ServiceId, ReleaseRecord>,
    end: LogPosition,
    last: Option<LastRead>,
    /// When a record was first found to be out of date.
    outdated: Option<Instant>,
    retry_at: Instant,
}

impl ReleaseLedger {
    /// A ledger that has read nothing.
    pub fn new(jitter: Duration) -> Self {
        Self {
            jitter,
            stored: BTreeMap::new(),
            end: LogPosition::default(),
            last: None,
            outdated: None,
            retry_at: Instant::default(),
        }
    }

    /// What has to be done now.
    pub fn step(&mut self, now: Instant, origins: &Origins) -> LedgerStep {
        if now < self.retry_at || origins.observed_since().is_none() {
            return LedgerStep::Wait;
        }
        if !self.is_current(now, origins) {
            return LedgerStep::Read;
        }
        let mut due = origins.release_records(now, self.end.era);
        due.retain(|service, record| match self.stored.get(service) {
            Some(stored) => stored != record,
            None => !record.releases.is_empty(),
        });
        let Some((service, record)) = due.pop_first() else {
            self.outdated = None;
            return LedgerStep::Wait;
        };
        let write_at = *self.outdated.get_or_insert(now) + self.jitter;
        if now < write_at {
            return LedgerStep::Wait;
        }
        if self.last.as_ref().is_none_or(|last| last.at < write_at) {
            return LedgerStep::Read;
        }
        LedgerStep::Write(service, record, self.end.offset)
    }

    /// Whether the records that were read are those of the present list. A release that is listed again may have been
    /// dropped from its record by a VM that no longer saw it.
    fn is_current(&self, now: Instant, origins: &Origins) -> bool {
        self.last.as_ref().is_some_and(|last| {
            last.observed == origins.observed_since()
                && now.since(last.at) < REREAD_INTERVAL
                && origins.listed_releases().is_subset(&last.listed)
        })
    }

    /// Applies all records, as they were when the topic ended at `end`.
    pub fn apply(
        &mut self,
        now: Instant,
        end: LogPosition,
        records: BTreeMap<ServiceId, ReleaseRecord>,
        origins: &mut Origins,
    ) {
        // Releases may have been listed and removed during a gap in the observation.
        let observed = origins.observed_since();
        let continues = self.last.as_ref().is_some_and(|l| l.observed == observed);
        for (service, record) in &records {
            let known = self.stored.get(service).filter(|_| continues);
            let is_new = |r: &&Option<Release>| known.is_none_or(|k| !k.releases.contains(*r));
            let added: Vec<_> = record.releases.iter().filter(is_new).collect();
            let covered = (record.era == end.era).then(|| record.window());
            origins.restore(now, service, &added, covered);
        }
        self.stored = records;
        self.stored.retain(|_, record| record.era == end.era);
        self.end = end;
        self.last = Some(LastRead {
            at: now,
            observed,
            listed: origins.listed_releases(),
        });
    }

    /// Notes that a record was written, after which the topic ends at `end`.
    pub fn written(&mut self, service: ServiceId, record: ReleaseRecord, end: LogPosition) {
        if end.era != self.end.era {
            self.last = None;
        }
        self.end = end;
        self.stored.insert(service, record);
    }

    /// Notes that a write conflicted with one of another VM.
    pub fn conflicted(&mut self, now: Instant) {
        self.last = None;
        self.retry_at = now + CONFLICT_PAUSE;
    }

    /// Notes that a call has failed; a record may have been written.
    pub fn failed(&mut self, now: Instant) {
        self.last = None;
        self.retry_at = now + RETRY_PAUSE;
    }

    /// Forgets what was read: this VM no longer reads the platform.
    pub fn reset(&mut self) {
        self.last = None;
        self.outdated = None;
    }
}

impl Origins {
    /// Since when each change of the list is seen; see [`ReleaseHistory::observed_since`].
    fn observed_since(&self) -> Option<Instant> {
        self.history.observed_since()
    }

    /// The releases that are listed now; see [`ReleaseHistory::listed`].
    fn listed_releases(&self) -> BTreeSet<(ServiceId, Option<Release>)> {
        self.history.listed()
    }

    /// The records that the platform should keep, of the services all of whose releases are known; none unless the
    /// list is current.
    fn release_records(&self, now: Instant, era: Era) -> BTreeMap<ServiceId, ReleaseRecord> {
        let is_current = self.history.is_current(now);
        let services = self.history.services().filter(|_| is_current);
        let records = services.filter_map(|service| {
            let (releases, window) = self.history.counted(now, service)?;
            Some((service.clone(), ReleaseRecord::new(releases, window, era)))
        });
        records.collect()
    }

    /// Applies a record of the platform; see [`ReleaseHistory::restore`].
    fn restore(
        &mut self,
        now: Instant,
        service: &ServiceId,
        releases: &[&Option<Release>],
        covered: Option<Duration>,
    ) {
        self.history.restore(now, service, releases, covered);
        self.update_only(now);
    }
}
