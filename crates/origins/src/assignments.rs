//! The assignments that a VM has read, and the reasons for a change that it knows.

use {
    super::{OriginNews, OriginRecord, Origins, ReleaseAssignment, SETTLE_TIME, StreamKey},
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{LogPosition, Release, ServiceId},
};

/// Time after the start of the whole system in which streams wait for the first assignment of their service.
pub(crate) const FIRST_WRITE_TIME: Duration = Duration::from_secs(10);
/// Time for which the streams of a release may begin elsewhere after a VM had no endpoint for one of them.
const SHORTAGE_TIME: Duration = Duration::from_secs(15);
/// Time for which streams begin by the assignment before, while the release of the new one isn't known to all VMs.
const TRANSITION_TIME: Duration = SETTLE_TIME.saturating_mul(2);

/// Whether new streams begin at the releases that the records assign.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Binding {
    /// As the last version says: it isn't known yet whether all VMs follow assignments.
    #[default]
    Unchanged,
    /// All VMs follow assignments.
    Bound,
    /// Some VMs begin streams at any release.
    Open,
}

/// Where a new stream may begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// At any release.
    Anywhere,
    /// At this release only.
    At(Release),
    /// Nowhere before the assignment of the service is known.
    Wait,
}

/// The assignments of all services, as read up to a position of the platform's log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AssignmentSnapshot {
    /// The position.
    pub at: LogPosition,
    /// The assignments of the services that have one.
    pub services: BTreeMap<ServiceId, ReleaseAssignment>,
}

/// What one VM knows of assignments.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    /// `None` before they were read.
    snapshot: Option<AssignmentSnapshot>,
    /// The assignments before their last change, and when this VM learnt of that.
    replaced: BTreeMap<ServiceId, (ReleaseAssignment, Instant)>,
    /// Whether this VM receives its state from one that doesn't know assignments.
    is_unsupported: bool,
    pub(crate) binding: Binding,
    /// Endpoints that take new streams, by release.
    capacity: BTreeMap<ServiceId, BTreeMap<Release, u32>>,
    /// When a stream last found no endpoint of the release that was assigned to it.
    shortages: BTreeMap<(ServiceId, Release), Instant>,
}

impl Assignments {
    pub(crate) fn get(&self, service: &ServiceId) -> Option<&ReleaseAssignment> {
        self.snapshot.as_ref()?.services.get(service)
    }

    /// The release at which a stream began before the last change, for some time after it.
    fn previous(&self, now: Instant, key: &StreamKey, service: &ServiceId) -> Option<&Release> {
        let (previous, replaced) = self.replaced.get(service)?;
        let is_recent = now.since(*replaced) < TRANSITION_TIME;
        previous.current(key).filter(|_| is_recent)
    }

    /// Endpoints that take new streams, by release.
    pub(crate) fn capacity(&self, service: &ServiceId) -> Option<&BTreeMap<Release, u32>> {
        self.capacity.get(service)
    }

    /// Whether a stream of the release lately had to begin elsewhere.
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
    /// Where a new stream that can be resumed may begin.
    pub fn begin(&self, now: Instant, key: &StreamKey, service: &ServiceId) -> Begin {
        if let Some(assignment) = self.assignments.get(service) {
            let Some(release) = assignment.current(key) else {
                return Begin::Anywhere;
            };
            let is_usable = |r: &Release| {
                self.history.is_settled(now, service, Some(r)) && self.history.is_listed(service, r)
            };
            let previous = self.assignments.previous(now, key, service);
            let previous = previous.filter(|p| !is_usable(release) && is_usable(p));
            return Begin::At(previous.unwrap_or(release).clone());
        }
        // Services with endpoints of unknown release have no assignment.
        let has_unknown = self.history.listed_releases(service).is_none();
        if self.assignments.is_unsupported || has_unknown {
            return Begin::Anywhere;
        }
        let is_unread = self.assignments.snapshot.is_none();
        if is_unread || self.history.is_first_within(now, FIRST_WRITE_TIME) {
            return Begin::Wait;
        }
        Begin::Anywhere
    }

    /// The assignments that this VM has read.
    pub fn assignments(&self) -> Option<&AssignmentSnapshot> {
        self.assignments.snapshot.as_ref()
    }

    /// Whether this VM has read the list, but neither the assignments nor the state of another VM with them.
    pub fn lacks_assignments(&self) -> bool {
        let is_unread = self.assignments.snapshot.is_none() && !self.assignments.is_unsupported;
        is_unread && self.history.observed_since().is_some()
    }

    /// Applies assignments that were read from the platform, by this VM or by the one that it follows; returns whether they
    /// are newer than those that it knew.
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

    /// Notes that the VM which this one follows doesn't know assignments.
    pub fn set_unsupported(&mut self) {
        self.assignments.is_unsupported = true;
    }

    /// Sets whether new streams begin at the releases that the records assign.
    pub fn set_binding(&mut self, binding: Binding) {
        self.assignments.binding = binding;
    }

    /// Sets the number of endpoints that take new streams, by release.
    pub fn set_capacity(&mut self, capacity: BTreeMap<ServiceId, BTreeMap<Release, u32>>) {
        self.assignments.capacity = capacity;
    }

    /// Notes that no endpoint of a release could take a stream that has to begin there; returns whether those of other releases
    /// could.
    pub fn note_shortage(&mut self, now: Instant, service: &ServiceId, release: &Release) -> bool {
        let listed = self.history.listed_releases(service).unwrap_or_default();
        if !listed.iter().any(|other| other != release) {
            return false;
        }
        let key = (service.clone(), release.clone());
        self.assignments.shortages.insert(key, now);
        true
    }

    /// The releases without endpoints for their streams.
    pub fn shortages(&self, now: Instant) -> BTreeSet<(ServiceId, Release)> {
        let shortages = self.assignments.shortages.iter();
        let current = shortages.filter(|(_, at)| now.since(**at) < SHORTAGE_TIME);
        current.map(|(key, _)| key.clone()).collect()
    }

    /// Has the records read for the origin of a stream, on a VM that reads them and has run for a shorter time than a stream can
    /// be resumed: it may have begun before. `asker` is the VM that seeks it, if it is another one.
    pub fn ask_records(
        &mut self,
        now: Instant,
        question: (StreamKey, &ServiceId),
        asker: Option<SocketAddr>,
    ) {
        let window = self.history.window(now, question.1);
        let since = self.history.observed_since();
        let is_recent = since.is_none_or(|since| now.since(since) < window);
        if self.reads_records && is_recent {
            self.questions.add(now, question, asker);
        }
    }

    /// Sets whether this VM reads the records.
    pub fn set_reads_records(&mut self, reads: bool) {
        self.reads_records = reads;
    }

    /// When the origin of a stream was last sought that the records may tell.
    pub(crate) fn last_question(&self) -> Option<Instant> {
        self.questions.last_asked()
    }

    /// Learns the origins that were sought before the records were read, at `read`.
    pub(crate) fn answer_from_records(&mut self, now: Instant, read: Instant) {
        for (key, service, askers) in self.questions.close_before(read) {
            let assignment = self.assignments.get(&service);
            let assignment = assignment.filter(|_| self.weights.is_settled(&service));
            let release = assignment.and_then(|a| a.origin(&key)).cloned();
            if let Some(release) = release
                && self.table.find(now, &key).is_none()
            {
                let window = self.history.window(now, &service).as_millis();
                self.table.learn(
                    now,
                    &OriginRecord {
                        key,
                        service,
                        release: Some(release),
                        ends_ms: u32::try_from(window).unwrap_or(u32::MAX),
                    },
                );
            }
            let Some(record) = self.table.tell(now, &key) else {
                continue;
            };
            self.questions.remove(&key);
            let news = OriginNews {
                origins: vec![record],
                ..OriginNews::default()
            };
            let answers = askers.into_iter().map(|a| (a, news.clone()));
            self.answers.extend(answers);
        }
    }

    /// Whether there are answers to other VMs.
    pub fn has_answers(&self) -> bool {
        !self.answers.is_empty()
    }

    /// Takes the answers from the records to other VMs.
    pub fn take_answers(&mut self) -> Vec<(SocketAddr, OriginNews)> {
        std::mem::take(&mut self.answers)
    }
}
