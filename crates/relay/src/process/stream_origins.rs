//! Which release began a stream: what this VM records, and what it knows when a caller takes one up.

use {
    super::{
        Node,
        weight_changes::{Reroute, WeightChanges},
    },
    crate::{
        configuration::Config,
        endpoints::Endpoint,
        request::{RoutedRequest, SlotLease},
    },
    clock::{Instant, timeout},
    origins::{
        Binding, LogNeed, LoggedOrigins, Lookup, Origin, OriginNews, Origins, ReleaseChoice,
        StreamKey,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{Era, Refusal, Release, ServiceId},
};

/// Time that other VMs get to say which release began a stream, and how often they are asked.
const ASK_TIME: Duration = Duration::from_millis(125);
const ASKS: u32 = 4;
/// Source of a release that no VM has told of, and `Retry-After` then: one may be heard of yet.
const NO_ANSWER: &str = "no answer";
const NO_ANSWER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time for which a stream is resumed, in multiples of the longest timeout of a service's routes:
/// a caller comes back within its own.
const WINDOW_TIMEOUTS: u32 = 2;
/// Longest time that a new stream is held until the assignment of its service is read, and `Retry-After` after that.
const ASSIGNMENT_WAIT: Duration = Duration::from_secs(1);
const ASSIGNMENT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time that the first event of a stream is held until its origin is logged, and time from which it is logged as slow.
const LOG_TIMEOUT: Duration = Duration::from_secs(1);
const SLOW_LOG: Duration = Duration::from_millis(20);
/// Time after the start in which this VM discovers the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Origins of streams, and questions that are to be sent to other VMs.
#[derive(Debug, Default)]
pub(crate) struct StreamOrigins {
    pub(super) known: Origins,
    /// By stream, until they are sent or their requests have ended.
    pub(super) asks: BTreeMap<StreamKey, OriginNews>,
    /// Changes of routing weights between services.
    pub(super) weights: WeightChanges,
    /// When the log of origins was last asked for, and its last read.
    pub(super) log_wanted: Option<Instant>,
    pub(super) log_read: Option<LogRead>,
}

/// A read of the log of origins.
#[derive(Debug)]
pub(super) struct LogRead {
    /// Its start.
    pub(super) begun: Instant,
    /// Era of the store.
    pub(super) era: Era,
    pub(super) logged: LoggedOrigins,
}

impl StreamOrigins {
    /// What is known at the start.
    pub(super) fn new(first_start: bool) -> Self {
        let mut origins = Self::default();
        if first_start {
            origins.known.begin_system();
        }
        origins
    }
}

impl Node {
    /// Notes the list of endpoints, as it was at `read` or later.
    pub(super) fn observe_list(&self, read: Instant) {
        let mut listed: BTreeSet<(ServiceId, Option<Release>)> = BTreeSet::new();
        let mut capacity: BTreeMap<ServiceId, BTreeMap<Release, u32>> = BTreeMap::new();
        for endpoint in self.registry.lock().endpoints() {
            let Endpoint {
                service, release, ..
            } = endpoint;
            listed.insert((service.clone(), release.clone()));
            let capacity = capacity.entry(service.clone()).or_default();
            if let Some(release) = release {
                *capacity.entry(release.clone()).or_default() += u32::from(!endpoint.leaving);
            }
        }
        let now = self.clock.now();
        let mut origins = self.origins.lock();
        let listed = listed.iter().map(|(s, r)| (s, r.as_ref()));
        origins.known.replace_list(now, read, listed);
        origins.known.set_capacity(capacity);
        let is_quiet = origins.known.is_quiet();
        let lacks_assignments = origins.known.lacks_assignments();
        drop(origins);
        if !is_quiet {
            self.origins_due.notify(usize::MAX);
        }
        if lacks_assignments {
            self.records_asked.notify(usize::MAX);
        }
    }

    /// Sets for how long streams of each service may be resumed.
    pub(super) fn set_resume_windows(&self, config: &Config) {
        let now = self.clock.now();
        let mut longest: BTreeMap<&ServiceId, Duration> = BTreeMap::new();
        for route in config.doc.routes.iter().filter(|r| r.kind.is_stream()) {
            for (service, _) in &route.split {
                let window = longest.entry(service).or_default();
                *window = (*window).max(route.timeout * WINDOW_TIMEOUTS);
            }
        }
        let mut origins = self.origins.lock();
        for (service, window) in longest {
            origins.known.set_window(now, service, window);
        }
    }

    /// The only release that a service has had for as long as its streams may be resumed, if this VM
    /// knows that.
    pub(crate) fn sole_release(&self, service: &ServiceId) -> Option<Release> {
        let now = self.clock.now();
        self.origins.lock().known.sole(now, service)
    }

    /// The releases that may serve a new resumable stream.
    pub(super) fn release_choice(&self, request: &RoutedRequest) -> ReleaseChoice {
        let now = self.clock.now();
        let origins = self.origins.lock();
        let key = first_key(request);
        origins.known.release_choice(now, &key, &request.service)
    }

    /// The releases of a service that not all VMs may have discovered yet.
    pub(super) fn unsettled_releases(&self, service: &ServiceId) -> Vec<Release> {
        let now = self.clock.now();
        self.origins.lock().known.unsettled(now, service)
    }

    /// The refusal of a new stream while the assignment of its service hasn't been read.
    pub(super) fn unassigned(&self, request: &RoutedRequest) -> Refusal {
        let refusal = request.unavailable("the releases of the service aren't known yet");
        refusal.with_retry_after(ASSIGNMENT_RETRY_AFTER)
    }

    /// Waits until the assignment for a new stream has been read, for `ASSIGNMENT_WAIT` at most.
    pub(crate) async fn await_assignment(&self, request: &RoutedRequest) {
        if self.release_choice(request) != ReleaseChoice::Pending {
            return;
        }
        let known = async {
            loop {
                let learned = self.origins_learned.listen();
                if self.release_choice(request) != ReleaseChoice::Pending {
                    return;
                }
                learned.await;
            }
        };
        let asked = self.clock.now();
        let waited = timeout(&*self.clock, ASSIGNMENT_WAIT, known).await;
        let took = self.clock.now().since(asked);
        log::info!(
            request:% = request.caller.id, service:% = request.service, known = waited.is_ok(), took_ms = took.as_millis() as u64;
            "stream waited for the releases of its service"
        );
    }

    /// Records a failed placement at the assigned release.
    pub(super) fn note_shortage(&self, request: &RoutedRequest, release: &Release) {
        let now = self.clock.now();
        let mut origins = self.origins.lock();
        let has_others = origins.known.note_shortage(now, &request.service, release);
        drop(origins);
        if !has_others {
            return;
        }
        log::info!(
            request:% = request.caller.id, service:% = request.service, release:% = release;
            "no endpoint of the release that is assigned to a stream"
        );
        self.records_asked.notify(usize::MAX);
    }

    /// Whether all VMs of the fleet enforce assignments.
    pub(super) fn binding(&self, now: Instant) -> Binding {
        if !self.peers.lock().all_follow_assignments() {
            return Binding::Open;
        }
        if self.settings.first_start || self.age(now) >= CONTACT_TIME {
            return Binding::Bound;
        }
        Binding::Unchanged
    }

    /// Sets whether all VMs log the origins of streams, and how many they are.
    pub(super) fn set_logging(&self, now: Instant) {
        let (vms, is_supported) = {
            let peers = self.peers.lock();
            (peers.fleet_size(now), peers.all_log_origins(now))
        };
        let is_certain = self.settings.first_start || self.age(now) >= CONTACT_TIME;
        let logging = match (is_supported, is_certain) {
            (false, _) => Binding::Open,
            (true, true) => Binding::Bound,
            (true, false) => Binding::Unchanged,
        };
        let mut origins = self.origins.lock();
        origins.known.set_logging(logging);
        origins.known.set_log_fleet(vms);
    }

    /// Has the origin of a new stream logged, if it has to be.
    pub(crate) fn log_start(&self, request: &RoutedRequest, release: Option<&Release>) {
        let origin = Origin {
            service: request.service.clone(),
            release: release.cloned(),
        };
        let now = self.clock.now();
        let reroute = self.reroute(request);
        let mut origins = self.origins.lock();
        // While the log can't be written, streams only wait for it if they can start elsewhere.
        let by_weights = match reroute {
            Reroute::None => LogNeed::None,
            Reroute::Allowed => LogNeed::BeforeStart,
            Reroute::Unknown if origins.known.is_log_available(now) => LogNeed::BeforeStart,
            Reroute::Unknown | Reroute::Moved => LogNeed::Deferred,
        };
        let key = first_key(request);
        let is_added = origins.known.log_start(now, key, &origin, by_weights);
        drop(origins);
        if is_added {
            self.origins_added.notify(usize::MAX);
        }
    }

    /// Waits until the origin of a new stream is logged, if its first event must not be forwarded before; returns whether it
    /// may be now.
    pub(crate) async fn await_logged(&self, request: &RoutedRequest, slot: &SlotLease) -> bool {
        self.log_start(request, slot.release.as_ref());
        let key = first_key(request);
        let begun = self.clock.now();
        let logged = async {
            loop {
                let written = self.origins_logged.listen();
                let now = self.clock.now();
                let (awaits, is_available) = {
                    let known = &self.origins.lock().known;
                    (known.awaits_log(&key), known.is_log_available(now))
                };
                if !awaits {
                    return true;
                }
                // Another attempt, where the origin needn't be logged, is quicker than the next write.
                if !is_available && self.has_retry(&request.service) {
                    return false;
                }
                written.await;
            }
        };
        let is_logged = timeout(&*self.clock, LOG_TIMEOUT, logged).await == Ok(true);
        let took = self.clock.now().since(begun);
        if !is_logged || took >= SLOW_LOG {
            log::info!(
                request:% = request.caller.id, service:% = request.service, logged = is_logged,
                release = slot.release.as_ref().map_or("", |r| r.as_str()), took_ms = took.as_millis() as u64;
                "stream waited for the log of origins"
            );
        }
        is_logged
    }

    /// Records that a stream brought events from the endpoint of a lease.
    pub(crate) fn record_origin(&self, request: &RoutedRequest, slot: &SlotLease) {
        let now = self.clock.now();
        let origin = Origin {
            service: request.service.clone(),
            release: slot.release.clone(),
        };
        let patience = request.caller.timeout.unwrap_or(request.route.timeout);
        let mut origins = self.origins.lock();
        let until = request.arrived + patience;
        let key = first_key(request);
        origins.known.began(now, key, &origin, until);
        let has_news = origins.known.news_due().is_some();
        drop(origins);
        if has_news {
            self.origins_due.notify(usize::MAX);
        }
    }

    /// The release that began the stream which a caller takes up, if this VM or another one knows it.
    pub(crate) async fn find_origin(&self, request: &RoutedRequest) -> Result<Release, Refusal> {
        let asked = self.clock.now();
        let (release, source) = self.look_up_origin(request).await;
        log::info!(
            request:% = request.caller.id, resumes = request.caller.resumes.as_ref().map_or("", |a| a.as_str()),
            release = release.as_ref().map_or("", |r| r.as_str()), source = source,
            took_ms = self.clock.now().since(asked).as_millis() as u64;
            "release of a stream looked up"
        );
        release.ok_or_else(|| {
            let refusal = request.unknown_origin();
            if source == NO_ANSWER {
                return refusal.with_retry_after(NO_ANSWER_RETRY_AFTER);
            }
            refusal
        })
    }

    async fn look_up_origin(&self, request: &RoutedRequest) -> (Option<Release>, &'static str) {
        let service = &request.service;
        if request.caller.resumes.is_none() {
            return (self.sole_release(service), "only release");
        }
        let key = first_key(request);
        match self.known_origin(&key, service) {
            Lookup::Release(release) => return (Some(release), "known"),
            Lookup::Unknown => return (None, "nobody"),
            Lookup::Ask => {}
        }
        let answer = self.ask_for_origin(&key, service).await;
        self.origins.lock().asks.remove(&key);
        answer.map_or((None, NO_ANSWER), |release| (release, "other VM"))
    }

    /// What other VMs say of a stream: its release, or that it is unknown. `None` if they don't answer.
    async fn ask_for_origin(
        &self,
        key: &StreamKey,
        service: &ServiceId,
    ) -> Option<Option<Release>> {
        for _ in 0..ASKS {
            self.queue_ask(key, service);
            let answered = async {
                loop {
                    let learned = self.origins_learned.listen();
                    match self.known_origin(key, service) {
                        Lookup::Ask => learned.await,
                        Lookup::Release(release) => return Some(release),
                        Lookup::Unknown => return None,
                    }
                }
            };
            if let Ok(release) = timeout(&*self.clock, ASK_TIME, answered).await {
                return Some(release);
            }
        }
        None
    }

    /// Queues the queries for a stream, to the other VMs and to the records.
    fn queue_ask(&self, key: &StreamKey, service: &ServiceId) {
        let now = self.clock.now();
        let mut origins = self.origins.lock();
        origins.known.query_records(now, (*key, service), None);
        origins.asks.insert(*key, Origins::ask(*key, service));
        drop(origins);
        self.origins_due.notify(usize::MAX);
        self.records_asked.notify(usize::MAX);
    }

    fn known_origin(&self, key: &StreamKey, service: &ServiceId) -> Lookup {
        let now = self.clock.now();
        self.origins.lock().known.look_up(now, key, service)
    }

    /// Whether an endpoint of the release takes new requests, though maybe not now.
    pub(super) fn serves_release(&self, service: &ServiceId, release: &Release) -> bool {
        let placers = self.placers.lock();
        let placer = placers.get(service);
        placer.is_some_and(|p| p.has_release(release))
    }
}

/// The key of the stream that a request begins or takes up.
pub(super) fn first_key(request: &RoutedRequest) -> StreamKey {
    key_at(request, &request.service)
}

/// The key of the stream that a request resumes, if it started at this service.
pub(super) fn key_at(request: &RoutedRequest, service: &ServiceId) -> StreamKey {
    let first = request.caller.first_attempt();
    let org = request.org.as_ref().map(|o| &o.id);
    StreamKey::of(service, org, first)
}
