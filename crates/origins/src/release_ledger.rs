//! Keeps the platform's records of the releases up to date, and restores the history of releases from them after a restart.

use {
    super::{
        AssignmentSnapshot, Binding, LoggedOrigins, Origins, ReleaseAssignment, ReleaseRecord,
        WeightRecord, assignment::AssignmentUpdate, assignments::FIRST_WRITE_TIME,
        observed_record::ObservedRecord,
    },
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
/// Shortest interval between two reads that answer queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which a VM may apply a superseded version of an assignment.
const MAX_ASSIGNMENT_AGE: Duration = Duration::from_secs(60);
/// Shortest time for which a bucket stays open.
const MIN_OPEN_TIME: Duration = Duration::from_secs(30);

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
    /// Its start time.
    begun: Instant,
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
    observed: BTreeMap<ServiceId, ObservedRecord>,
    /// Start time of the read in progress, and what it found in the log of origins.
    read_begun: Instant,
    logged: Option<LoggedOrigins>,
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
            observed: BTreeMap::new(),
            read_begun: Instant::default(),
            logged: None,
            retry_at: Instant::default(),
        }
    }

    /// What has to be done now.
    pub fn step(&mut self, now: Instant, origins: &Origins) -> LedgerStep {
        if now < self.retry_at || origins.observed_since().is_none() {
            return LedgerStep::Wait;
        }
        if !self.is_current(now, origins) || self.has_query(now, origins) {
            return self.read(now);
        }
        let mut due = origins.release_records(now, self.end.era);
        for (service, record) in &mut due {
            record.assignment = self.next_assignment(now, origins, service, record);
            record.weights = self.next_weights(now, origins, service, record);
            self.omit_unused(service, record);
        }
        due.retain(|service, record| match self.stored.get(service) {
            Some(stored) => stored != record,
            None => !record.releases.is_empty(),
        });
        let Some((service, record)) = due.pop_first() else {
            self.outdated = None;
            return LedgerStep::Wait;
        };
        // New streams are held back until the first record of their service is written.
        let is_first = !self.stored.contains_key(&service);
        let jitter = if is_first {
            Duration::ZERO
        } else {
            self.jitter
        };
        let write_at = *self.outdated.get_or_insert(now) + jitter;
        if now < write_at {
            return LedgerStep::Wait;
        }
        if self.last.as_ref().is_none_or(|last| last.at < write_at) {
            return self.read(now);
        }
        LedgerStep::Write(service, record, self.end.offset)
    }

    /// The weights for the next record of a service.
    fn next_weights(
        &self,
        now: Instant,
        origins: &Origins,
        service: &ServiceId,
        record: &ReleaseRecord,
    ) -> Option<WeightRecord> {
        let stored = self.stored.get(service).and_then(|r| r.weights.as_ref());
        let since = self.observed.get(service).and_then(|o| o.weights);
        let hold_time = record.window() + MAX_ASSIGNMENT_AGE;
        let is_held = since.is_some_and(|(_, since)| now.since(since) >= hold_time);
        let is_first = origins.history.is_first_within(now, FIRST_WRITE_TIME);
        origins
            .weights
            .next_record(service, stored, (is_held, is_first))
    }

    /// Omits listed releases that have never been assigned: no stream has started there, so they needn't be written yet.
    fn omit_unused(&self, service: &ServiceId, record: &mut ReleaseRecord) {
        let Some(assignment) = &record.assignment else {
            return;
        };
        let Some(stored) = self.stored.get(service) else {
            return;
        };
        record.releases.retain(|release| {
            let used = release.as_ref().is_none_or(|r| assignment.may_be_origin(r));
            used || stored.releases.contains(release)
        });
    }

    fn read(&mut self, now: Instant) -> LedgerStep {
        self.read_begun = now;
        self.logged = None;
        LedgerStep::Read
    }

    /// Whether a query has been queued since the start of the last read.
    fn has_query(&self, now: Instant, origins: &Origins) -> bool {
        let asked = origins.last_query(now);
        let last = self.last.as_ref().map(|last| last.begun);
        asked > last && last.is_none_or(|last| now.since(last) >= QUERY_INTERVAL)
    }

    /// The assignment for the next record of a service; `None` if it gets none.
    fn next_assignment(
        &mut self,
        now: Instant,
        origins: &Origins,
        service: &ServiceId,
        record: &ReleaseRecord,
    ) -> Option<ReleaseAssignment> {
        let stored = self.stored.get(service);
        let stored = stored.and_then(|r| r.assignment.as_ref());
        let known: Option<BTreeSet<Release>> = record.releases.iter().cloned().collect();
        let binding = known
            .as_ref()
            .map_or(Binding::Open, |_| origins.assignments.binding);
        let capacity = origins.assignable(service).unwrap_or_default();
        let Some(stored) = stored else {
            let begun = match origins.history.is_first_within(now, FIRST_WRITE_TIME) {
                true => Some(BTreeSet::new()),
                false => known,
            };
            let first = ReleaseAssignment::first(&capacity, begun.as_ref(), self.end.offset);
            return first.filter(|_| binding == Binding::Bound);
        };
        let observed = self.observed.entry(service.clone()).or_default();
        let underassigned = observed.note_underassigned(now, stored.underassigned(&capacity));
        let hold_time = record.window() + MAX_ASSIGNMENT_AGE;
        Some(stored.updated(&AssignmentUpdate {
            capacity: &capacity,
            underassigned: &underassigned,
            must_open: &|release| {
                binding == Binding::Open || origins.assignments.is_short(now, service, release)
            },
            may_close: &|bucket| {
                binding == Binding::Bound && observed.is_unchanged(now, bucket, MIN_OPEN_TIME)
            },
            listed: &origins.history.listed_releases(service).unwrap_or_default(),
            logging: match binding {
                Binding::Open => Binding::Open,
                Binding::Bound | Binding::Unchanged => origins.assignments.logging,
            },
            counted: known.as_ref(),
            is_settled: &|bucket| observed.is_unchanged(now, bucket, hold_time),
        }))
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

    /// End of the topic when the records were last read or written.
    pub fn position(&self) -> Option<LogPosition> {
        self.last.as_ref().map(|_| self.end)
    }

    /// Sets what the read in progress found in the log of origins. The log has to be read after the records: streams that are
    /// logged by then may have started before any later version of the records.
    pub fn set_logged(&mut self, logged: LoggedOrigins) {
        self.logged = Some(logged);
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
        if self.end.era != end.era {
            self.observed.clear();
        }
        self.stored = records;
        self.stored.retain(|_, record| record.era == end.era);
        self.end = end;
        self.last = Some(LastRead {
            at: now,
            begun: self.read_begun,
            observed,
            listed: origins.listed_releases(),
        });
        self.publish(now, origins);
        origins.answer_from_records(now, self.read_begun, self.logged.take().as_ref());
    }

    /// Applies the stored assignments on this VM.
    fn publish(&mut self, now: Instant, origins: &mut Origins) {
        let mut services = BTreeMap::new();
        let mut settled = BTreeMap::new();
        for (service, record) in &self.stored {
            let observed = self.observed.entry(service.clone()).or_default();
            observed.note_weights(now, record.weights.as_ref());
            if let Some(weights) = record.weights.filter(|w| w.settled) {
                settled.insert(service.clone(), weights.digest);
            }
            let Some(assignment) = &record.assignment else {
                continue;
            };
            observed.note(now, assignment);
            services.insert(service.clone(), assignment.clone());
        }
        origins.set_settled_weights(settled);
        let at = self.end;
        origins.set_assignments(now, AssignmentSnapshot { at, services });
    }

    /// Notes that a record was written, after which the topic ends at `end`.
    pub fn written(
        &mut self,
        now: Instant,
        (service, record): (ServiceId, ReleaseRecord),
        end: LogPosition,
        origins: &mut Origins,
    ) {
        let is_same_era = end.era == self.end.era;
        self.end = end;
        self.stored.insert(service, record);
        match is_same_era {
            true => self.publish(now, origins),
            false => self.last = None,
        }
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

    /// Number of a service's endpoints that accept new streams, by release; `None` if some have an unknown release.
    fn assignable(&self, service: &ServiceId) -> Option<BTreeMap<Release, u32>> {
        let listed = self.history.listed_releases(service)?;
        let told = self.assignments.capacity(service);
        let endpoints = |release: &Release| match told {
            Some(told) => told.get(release).copied().unwrap_or(0),
            None => 1,
        };
        let capacity = listed.into_iter().map(|r| (endpoints(&r), r));
        let capacity = capacity.filter(|(endpoints, _)| *endpoints > 0);
        Some(capacity.map(|(endpoints, r)| (r, endpoints)).collect())
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
