//! A VM's copy of the assignments, and its inputs for the next version of them.

use {
    super::{
        LogNeed, LogWrite, LoggedOrigins, Origin, OriginNews, OriginRecord, Origins,
        ReleaseAssignment, SETTLE_TIME, StreamKey, assignment::RecordedOrigin,
    },
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{LogPosition, Release, ServiceId},
};

/// Time after the first start of the system during which new streams wait for the first assignment of their service.
pub(crate) const FIRST_WRITE_TIME: Duration = Duration::from_secs(10);
/// Time after the last failed placement for which a release counts as short of capacity.
const SHORTAGE_TIME: Duration = Duration::from_secs(15);
/// Time after a change during which the previous assignment applies if the newly assigned release isn't settled.
const TRANSITION_TIME: Duration = SETTLE_TIME.saturating_mul(2);

/// Whether all VMs of the fleet enforce the assignments.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Binding {
    /// Unknown so far: keeps the state of the last version.
    #[default]
    Unchanged,
    /// All VMs enforce them.
    Bound,
    /// Some VMs ignore them.
    Open,
}

/// The releases that may serve a new stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseChoice {
    /// Any release.
    Any,
    /// This release only.
    Only(Release),
    /// Unknown until the assignment of the service has been read.
    Pending,
}

/// The assignments of all services as of a position in the platform's log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AssignmentSnapshot {
    /// The position.
    pub at: LogPosition,
    /// Assignments by service.
    pub services: BTreeMap<ServiceId, ReleaseAssignment>,
}

/// The assignment state of one VM.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    /// `None` before the first read.
    snapshot: Option<AssignmentSnapshot>,
    /// The previous version of each assignment, and when this VM received its successor.
    replaced: BTreeMap<ServiceId, (ReleaseAssignment, Instant)>,
    /// Whether the VM that this one receives its state from runs a release without assignments.
    is_unsupported: bool,
    pub(crate) binding: Binding,
    /// Whether all VMs log origins.
    pub(crate) logging: Binding,
    /// Number of endpoints that accept new streams, by release.
    capacity: BTreeMap<ServiceId, BTreeMap<Release, u32>>,
    /// Time of the last failed placement at the assigned release.
    shortages: BTreeMap<(ServiceId, Release), Instant>,
}

impl Assignments {
    pub(crate) fn get(&self, service: &ServiceId) -> Option<&ReleaseAssignment> {
        self.snapshot.as_ref()?.services.get(service)
    }

    /// The release that the previous assignment names, for a time after the change.
    fn previous(&self, now: Instant, key: &StreamKey, service: &ServiceId) -> Option<&Release> {
        let (previous, replaced) = self.replaced.get(service)?;
        let is_recent = now.since(*replaced) < TRANSITION_TIME;
        previous.current(key).filter(|_| is_recent)
    }

    /// Number of endpoints that accept new streams, by release.
    pub(crate) fn capacity(&self, service: &ServiceId) -> Option<&BTreeMap<Release, u32>> {
        self.capacity.get(service)
    }

    /// Whether a placement at the release failed recently.
    pub(crate) fn is_short(&self, now: Instant, service: &ServiceId, release: &Release) -> bool {
        let key = (service.clone(), release.clone());
        let at = self.shortages.get(&key);
        at.is_some_and(|at| now.since(*at) < SHORTAGE_TIME)
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.shortages
            .retain(|_, at| now.since(*at) < SHORTAGE_TIME);
    }
}

impl Origins {
    /// The releases that may serve a new resumable stream.
    pub fn release_choice(
        &self,
        now: Instant,
        key: &StreamKey,
        service: &ServiceId,
    ) -> ReleaseChoice {
        if let Some(assignment) = self.assignments.get(service) {
            let is_usable = |r: &Release| {
                self.history.is_settled(now, service, Some(r)) && self.history.is_listed(service, r)
            };
            if let RecordedOrigin::Unlogged(release) = assignment.origin(key)
                && !self.log.is_available(now)
                && is_usable(release)
            {
                return ReleaseChoice::Only(release.clone());
            }
            let Some(release) = assignment.current(key) else {
                return ReleaseChoice::Any;
            };
            let previous = self.assignments.previous(now, key, service);
            let previous = previous.filter(|p| !is_usable(release) && is_usable(p));
            return ReleaseChoice::Only(previous.unwrap_or(release).clone());
        }
        // Services with endpoints of unknown release have no assignment.
        let has_unknown = self.history.listed_releases(service).is_none();
        if self.assignments.is_unsupported || has_unknown {
            return ReleaseChoice::Any;
        }
        let is_unread = self.assignments.snapshot.is_none();
        if is_unread || self.history.is_first_within(now, FIRST_WRITE_TIME) {
            return ReleaseChoice::Pending;
        }
        ReleaseChoice::Any
    }

    /// The assignments, if they have been read.
    pub fn assignments(&self) -> Option<&AssignmentSnapshot> {
        self.assignments.snapshot.as_ref()
    }

    /// Whether the endpoint list has been read but the assignments are still missing.
    pub fn lacks_assignments(&self) -> bool {
        let is_unread = self.assignments.snapshot.is_none() && !self.assignments.is_unsupported;
        is_unread && self.history.observed_since().is_some()
    }

    /// Applies assignments read from the platform or received from another VM; returns whether they are newer.
    pub fn set_assignments(&mut self, now: Instant, snapshot: AssignmentSnapshot) -> bool {
        self.assignments.is_unsupported = false;
        let known = self.assignments.snapshot.as_ref();
        if known.is_some_and(|known| known.at >= snapshot.at) {
            return false;
        }
        let last = known.map(|known| known.services.clone());
        for (service, assignment) in last.into_iter().flatten() {
            if snapshot.services.get(&service) != Some(&assignment) {
                let replaced = (assignment, now);
                self.assignments.replaced.insert(service, replaced);
            }
        }
        self.assignments.snapshot = Some(snapshot);
        true
    }

    /// Notes that the VM this one receives its state from runs a release without assignments.
    pub fn set_unsupported(&mut self) {
        self.assignments.is_unsupported = true;
    }

    /// Sets whether all VMs of the fleet enforce the assignments.
    pub fn set_binding(&mut self, binding: Binding) {
        self.assignments.binding = binding;
    }

    /// Sets whether all VMs log origins.
    pub fn set_logging(&mut self, logging: Binding) {
        self.assignments.logging = logging;
    }

    /// Sets the number of endpoints that accept new streams, by release.
    pub fn set_capacity(&mut self, capacity: BTreeMap<ServiceId, BTreeMap<Release, u32>>) {
        self.assignments.capacity = capacity;
    }

    /// Records a failed placement at the assigned release; returns whether another release is listed.
    pub fn note_shortage(&mut self, now: Instant, service: &ServiceId, release: &Release) -> bool {
        let listed = self.history.listed_releases(service).unwrap_or_default();
        if !listed.iter().any(|other| other != release) {
            return false;
        }
        let key = (service.clone(), release.clone());
        self.assignments.shortages.insert(key, now);
        true
    }

    /// The releases at which placements failed recently.
    pub fn shortages(&self, now: Instant) -> BTreeSet<(ServiceId, Release)> {
        let shortages = self.assignments.shortages.iter();
        let current = shortages.filter(|(_, at)| now.since(**at) < SHORTAGE_TIME);
        current.map(|(key, _)| key.clone()).collect()
    }

    /// Queues a query that the next read of the records answers. Ignored on VMs that don't read them. `requester` is the VM to
    /// reply to, if it is another one.
    pub fn query_records(
        &mut self,
        now: Instant,
        query: (StreamKey, &ServiceId),
        requester: Option<SocketAddr>,
    ) {
        if self.reads_records {
            self.queries.add(now, query, requester);
        }
    }

    /// Sets whether this VM reads the records.
    pub fn set_reads_records(&mut self, reads: bool) {
        self.reads_records = reads;
    }

    /// Time of the latest pending query.
    pub(crate) fn last_query(&self, now: Instant) -> Option<Instant> {
        let since = self.history.observed_since();
        let is_recent = |service: &ServiceId| {
            let window = self.history.window(now, service);
            since.is_none_or(|since| now.since(since) < window)
        };
        self.queries.last_queried(is_recent)
    }

    /// Answers the queries that were queued before the read that started at `read`. `logged`: what it found in the log of
    /// origins, if it read that.
    pub(crate) fn answer_from_records(
        &mut self,
        now: Instant,
        read: Instant,
        logged: Option<&LoggedOrigins>,
    ) {
        for (key, service, requesters) in self.queries.close_before(read) {
            let recorded = self.recorded_origin(now, &key, &service, logged);
            if let Some(record) = recorded
                && self.table.find(now, &key).is_none()
            {
                self.table.learn(now, &record);
            }
            let Some(record) = self.table.tell(now, &key) else {
                continue;
            };
            self.queries.remove(key, &service);
            let news = OriginNews {
                origins: vec![record],
                ..OriginNews::default()
            };
            let answers = requesters.into_iter().map(|a| (a, news.clone()));
            self.answers.extend(answers);
        }
    }

    /// The origin of a stream according to the platform's records and its log of origins.
    fn recorded_origin(
        &self,
        now: Instant,
        key: &StreamKey,
        service: &ServiceId,
        logged: Option<&LoggedOrigins>,
    ) -> Option<OriginRecord> {
        if let Some(record) = logged.and_then(|logged| logged.get(key)) {
            return Some(record.clone());
        }
        let assignment = self.assignments.get(service);
        let assignment = assignment.filter(|_| self.weights.is_settled(service));
        let release = match assignment?.origin(key) {
            RecordedOrigin::Only(release) => release,
            RecordedOrigin::Unlogged(release)
                if logged.is_some() && self.assignments.logging != Binding::Open =>
            {
                release
            }
            RecordedOrigin::Unlogged(_) | RecordedOrigin::Unknown => return None,
        };
        let window = self.history.window(now, service).as_millis();
        Some(OriginRecord {
            key: *key,
            service: service.clone(),
            release: Some(release.clone()),
            ends_ms: u32::try_from(window).unwrap_or(u32::MAX),
        })
    }

    /// Logs the origin of a new stream where the records don't imply it; returns whether there is something to write. To be
    /// called when its endpoint is selected, and its first event must wait while [`Self::awaits_log`] says so.
    /// `by_weights` tells whether its service has to be logged.
    pub fn log_start(
        &mut self,
        now: Instant,
        key: StreamKey,
        origin: &Origin,
        by_weights: LogNeed,
    ) -> bool {
        let by_weights = match self.logs_origins() {
            true => by_weights,
            false => LogNeed::None,
        };
        let need = self.log_need(&key, origin).max(by_weights);
        if need == LogNeed::None {
            self.log.remove(&key);
            return false;
        }
        let until = now + self.history.window(now, &origin.service);
        let is_urgent = need == LogNeed::BeforeStart;
        self.log.add(now, key, origin, until, is_urgent);
        true
    }

    /// Whether the release of a new stream has to be logged.
    fn log_need(&self, key: &StreamKey, origin: &Origin) -> LogNeed {
        let Some(release) = &origin.release else {
            return LogNeed::None;
        };
        // An attempt at another release brought no event.
        if self.log.may_hold_other(key, origin) {
            return LogNeed::BeforeStart;
        }
        let assignment = self.assignments.get(&origin.service);
        match assignment.map(|a| a.origin(key)) {
            None => LogNeed::None,
            Some(RecordedOrigin::Only(only)) if only == release => LogNeed::None,
            Some(RecordedOrigin::Only(_)) => LogNeed::BeforeStart,
            Some(RecordedOrigin::Unlogged(unlogged)) if unlogged == release => LogNeed::None,
            // A stream cannot be resumed at a release without endpoints.
            Some(RecordedOrigin::Unlogged(unlogged)) => {
                match self.history.is_listed(&origin.service, unlogged) {
                    true => LogNeed::BeforeStart,
                    false => LogNeed::Deferred,
                }
            }
            Some(RecordedOrigin::Unknown) if self.assignments.logging == Binding::Bound => {
                LogNeed::Deferred
            }
            Some(RecordedOrigin::Unknown) => LogNeed::None,
        }
    }

    /// Whether the first event of a stream has to wait until its origin is logged.
    pub fn awaits_log(&self, key: &StreamKey) -> bool {
        self.log.is_pending(key)
    }

    /// Whether all VMs log origins, as far as this one knows.
    pub fn logs_origins(&self) -> bool {
        self.assignments.logging != Binding::Open
    }

    /// Whether an origin that is added now is likely to be logged soon.
    pub fn is_log_available(&self, now: Instant) -> bool {
        self.log.is_available(now)
    }

    /// When there are origins to log; `None` if there are none, or a write is in progress.
    pub fn log_due(&self) -> Option<Instant> {
        self.log.write_due()
    }

    /// Takes the origins that have to be logged now. [`Self::log_written`] or [`Self::log_failed`] has to follow.
    pub fn take_log_write(&mut self, now: Instant) -> Option<LogWrite> {
        self.log.take_write(now)
    }

    /// Notes that the origins taken last were logged.
    pub fn log_written(&mut self) {
        self.log.written();
    }

    /// Notes that the origins taken last were not logged, or may not have been unless that `is_certain`.
    pub fn log_failed(&mut self, now: Instant, is_certain: bool) {
        self.log.failed(now, is_certain);
    }

    /// Sets the number of VMs that share the log of origins.
    pub fn set_log_fleet(&mut self, vms: u32) {
        self.log.set_fleet(vms);
    }

    /// Whether there are replies to send.
    pub fn has_answers(&self) -> bool {
        !self.answers.is_empty()
    }

    /// Takes the replies to other VMs.
    pub fn take_answers(&mut self) -> Vec<(SocketAddr, OriginNews)> {
        std::mem::take(&mut self.answers)
    }
}
