//! Configuration changes, and the choice of an endpoint for each request.

use {
    super::{Node, admission::admit_at},
    crate::{
        configuration::{Config, RouteKind},
        endpoints::Endpoint,
        request::{EndpointTarget, RoutedRequest, SlotLease, StreamOrigin},
    },
    clock::Instant,
    detour::Link,
    origins::ReleaseChoice,
    route::{
        Activity, EndpointSpec, EngineProfile, FleetRank, PlacementOutcome, PlacementRequest,
        Placer, SlidingRetryBudget,
    },
    std::{sync::Arc, time::Duration},
    types::{EndpointId, Reason, Refusal, ServiceId, Verdict},
};

/// `Retry-After` for a request that no endpoint could take: about the time of one request.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(400);
/// `Retry-After` for a stream that only endpoints of a release could take which not all VMs know yet.
const NEW_RELEASE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` for a request whose service has endpoints in evacuated availability zones only.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Share of the time that a caller has left after which it may still come back and be served.
pub(super) const MAX_RETURN_SHARE: f64 = 1.0 / 3.0;
/// Smallest part of the longest wait that a refused caller is told, so that callers return spread.
pub(super) const MIN_RETURN_JITTER: f64 = 0.6;
/// Range of the random share by which callers come back later than the first endpoint does, so that
/// they don't all return at once.
const BUSY_JITTER: f64 = 0.5;

impl Node {
    /// Puts a configuration in force, unless its version is not newer than the current one: a stale
    /// read may return an older one.
    pub(crate) fn apply_config(&self, config: Arc<Config>) -> bool {
        let mut current = self.config.write();
        let old = current.as_ref().map(|c| c.doc.version);
        if old >= Some(config.doc.version) {
            return false;
        }
        let now = self.clock.now();
        let registry = self.registry.lock();
        let evacuations = self.evacuations.lock();
        let evacuated = evacuations.zones();
        let orgs = config.doc.orgs.as_ref().map_or(0, Vec::len);
        let mut placers = self.placers.lock();
        for (id, service) in &config.doc.services {
            if let Some(placer) = placers.get_mut(id) {
                placer.set_cold_policy(now, service.cold);
                placer.set_org_count(orgs);
            }
            if !placers.contains_key(id) {
                let profile = service
                    .engine
                    .map(|e| EngineProfile::new(e.memory, e.stride).with_slots(e.slots));
                let mut placer = Placer::new(profile);
                placer.set_evacuated(now, &evacuated);
                placer.set_cold_policy(now, service.cold);
                placer.set_org_count(orgs);
                let accepting = registry
                    .endpoints()
                    .filter(|e| e.service == *id && !e.leaving);
                for endpoint in accepting {
                    placer.upsert_endpoint(now, endpoint_spec(endpoint));
                    placer.restrict(now, &endpoint.id, registry.restriction(&endpoint.id));
                }
                placers.insert(id.clone(), placer);
            }
        }
        log::info!(
            version = config.doc.version.0,
            replaced = old.map_or(0, |v| v.0),
            routes = config.doc.routes.len(),
            services = config.doc.services.len();
            "configuration in force"
        );
        self.set_resume_windows(&config);
        self.note_weights(current.as_deref(), &config);
        *current = Some(config);
        self.changed.notify(usize::MAX);
        true
    }

    /// Sets the position of this VM in the fleet.
    pub(crate) fn set_rank(&self, rank: Option<FleetRank>) {
        let now = self.clock.now();
        let mut placers = self.placers.lock();
        placers.values_mut().for_each(|p| p.set_rank(now, rank));
    }

    /// Sets the number of VMs and the mean age of their load reports.
    pub(crate) fn set_fleet(&self, vms: u32, load_age: Duration) {
        let mut placers = self.placers.lock();
        placers
            .values_mut()
            .for_each(|p| p.set_fleet(vms, load_age));
    }

    /// Whether an endpoint still takes requests: it may have closed while a connection
    /// was opened.
    pub(crate) fn still_accepts(&self, target: &EndpointTarget) -> bool {
        let id = &target.id;
        let registry = self.registry.lock();
        let placers = self.placers.lock();
        let placer = placers.get(&target.service);
        registry.accepting(id).is_some() && placer.is_some_and(|p| p.is_open(self.clock.now(), id))
    }

    /// Chooses an endpoint for a request and reserves a slot there. `avoid` are the endpoints tried
    /// before.
    pub(crate) fn acquire_slot(
        self: &Arc<Self>,
        request: &RoutedRequest,
        avoid: &[EndpointId],
    ) -> Result<SlotLease, Refusal> {
        if let Some(wait) = self.quarantine(request) {
            return Err(request.quarantined(wait));
        }
        let now = self.clock.now();
        let config = self.config();
        let origin = request.origin();
        let (choice, unsettled) = match origin {
            StreamOrigin::New if request.route.kind == RouteKind::Resumable => (
                self.release_choice(request),
                self.unsettled_releases(&request.service),
            ),
            StreamOrigin::New | StreamOrigin::Known(_) => (ReleaseChoice::Any, Vec::new()),
            StreamOrigin::Unknown => return Err(request.unknown_origin()),
        };
        let release = match &choice {
            ReleaseChoice::Any => origin.release(),
            ReleaseChoice::Only(release) => Some(release),
            ReleaseChoice::Pending => return Err(self.unassigned(request)),
        };
        let placement_request = PlacementRequest {
            zone: &self.settings.zone,
            urgency: request.urgency,
            target: request.route.target,
            max_pause: request.route.pause,
            prompt: request.caller.prompt.as_ref(),
            org: request.org.as_ref().map(|o| &o.id),
            avoid,
            release,
            avoid_releases: &unsettled,
        };
        let registry = self.registry.lock();
        let mut placers = self.placers.lock();
        let placer = placers.get_mut(&request.service);
        let placement = placer.and_then(|p| p.place(now, &placement_request));
        let Some(placement) = placement else {
            let evacuated = placers
                .get(&request.service)
                .is_some_and(Placer::is_evacuated);
            if evacuated {
                return Err(request.evacuated(EVACUATED_RETRY_AFTER));
            }
            let retry_after = placers
                .get_mut(&request.service)
                .and_then(|p| p.schedule_return(now));
            drop(placers);
            drop(registry);
            if let ReleaseChoice::Only(release) = &choice {
                self.note_shortage(request, release);
            }
            if let Some(release) = origin.release()
                && !self.serves_release(&request.service, release)
            {
                return Err(
                    request.unavailable("no endpoint has the release that began the stream")
                );
            }
            return Err(match retry_after {
                Some(wait) => request.all_busy(wait.mul_f64(1.0 + fastrand::f64() * BUSY_JITTER)),
                None => self.failure_refusal(request, "no other endpoint is listed"),
            });
        };
        request.record_forecast(&placement);
        let chosen = registry
            .accepting(&placement.id)
            .and_then(|e| e.release.as_ref());
        if chosen.is_some_and(|r| unsettled.contains(r)) {
            if let Some(placer) = placers.get_mut(&request.service) {
                placer.finish(now, &placement, PlacementOutcome::Unsent);
            }
            let refusal = request.unavailable("only a new release takes requests");
            return Err(refusal.with_retry_after(NEW_RELEASE_RETRY_AFTER));
        }
        if let Some(placer) = placers.get_mut(&request.service)
            && let Err(wait) = admit_at(now, config.as_deref(), request, placer, &placement)
        {
            placer.finish(now, &placement, PlacementOutcome::Unsent);
            return Err(request.overloaded(wait));
        }
        let target = registry.accepting(&placement.id).cloned();
        let source = placement
            .kv_source
            .as_ref()
            .and_then(|id| registry.accepting(id));
        let kv_source = source.map(|e| e.addr);
        drop(placers);
        drop(registry);
        let Some(target) = target else {
            log::error!(endpoint:% = placement.id; "placer chose an endpoint that is not listed");
            return Err(request.unavailable("endpoint is not listed"));
        };
        if origin == StreamOrigin::New && request.route.kind == RouteKind::Resumable {
            self.log_start(request, target.release.as_ref());
        }
        Ok(SlotLease::new(
            self.clone(),
            request.service.clone(),
            placement,
            &target,
            kv_source,
        ))
    }

    /// Reserves a slot of another endpoint for a request whose endpoint is silent; `None` if there is no
    /// retry left in the budget or no other endpoint that responds.
    pub(crate) fn acquire_other(
        self: &Arc<Self>,
        request: &RoutedRequest,
        avoid: &[EndpointId],
    ) -> Option<SlotLease> {
        let now = self.clock.now();
        let has_other = {
            let placers = self.placers.lock();
            let placer = placers.get(&request.service);
            placer.is_some_and(|p| p.has_other(now, avoid))
        };
        // The other endpoints may be as silent if the fault is with the links of this VM.
        let has_other = has_other || self.link() == Link::Cut;
        if !has_other || !self.has_retry(&request.service) {
            return None;
        }
        let slot = self.acquire_slot(request, avoid).ok()?;
        if self.is_silent(&request.service, slot.endpoint()) {
            slot.finish(PlacementOutcome::Unsent);
            return None;
        }
        Some(slot)
    }

    /// Whether an endpoint has been silent for long towards all requests of this VM.
    pub(crate) fn is_silent(&self, service: &ServiceId, id: &EndpointId) -> bool {
        let placers = self.placers.lock();
        let placer = placers.get(service);
        placer.is_some_and(|p| p.is_silent(self.clock.now(), id))
    }

    /// When the endpoint of a lease sent anything to this VM, in response to any request; `None` if it
    /// never did.
    pub(crate) fn activity(&self, slot: &SlotLease) -> Option<Activity> {
        let placers = self.placers.lock();
        let placer = placers.get(slot.service())?;
        placer.activity(self.clock.now(), slot.endpoint())
    }

    /// Time since any endpoint sent something to this VM, while requests wait for endpoints.
    pub(super) fn endpoint_silence(&self, now: Instant) -> Option<Duration> {
        let placers = self.placers.lock();
        placers.values().filter_map(|p| p.silence(now)).min()
    }

    /// Whether this VM lately heard of other endpoints near this one.
    pub(super) fn has_contact_near(&self, service: &ServiceId, id: &EndpointId) -> bool {
        let placers = self.placers.lock();
        let placer = placers.get(service);
        placer.is_some_and(|p| p.has_contact(self.clock.now(), id))
    }

    /// The refusal of a request whose last attempt failed with `cause`. The more of all requests the
    /// endpoints refuse, the later the caller may come back: it would only be refused again.
    pub(crate) fn failure_refusal(&self, request: &RoutedRequest, cause: &'static str) -> Refusal {
        let refusal = request.unavailable(cause).retry_if_not_run();
        let Some(retry_after) = refusal.retry_after else {
            return refusal;
        };
        let now = self.clock.now();
        let share = {
            let placers = self.placers.lock();
            let placer = placers.get(&request.service);
            placer.map_or(0.0, |p| p.refusal_share(now))
        };
        let longest = request.deadline.since(now).mul_f64(MAX_RETURN_SHARE);
        let jitter = MIN_RETURN_JITTER + (1.0 - MIN_RETURN_JITTER) * fastrand::f64();
        refusal.with_retry_after(retry_after.max(longest.mul_f64(share * jitter)))
    }

    /// Counts a request, which earns a part of a retry in its service's retry budget.
    pub(crate) fn earn_retry(&self, request: &RoutedRequest) {
        let now = self.clock.now();
        self.with_budget(&request.service, |b| b.deposit(now));
    }

    /// Takes a retry from its service's retry budget; false if the budget is spent, or if slots are short and
    /// the request is late already.
    pub(crate) fn take_retry(&self, request: &RoutedRequest) -> bool {
        let now = self.clock.now();
        let late = now.since(request.arrived) > request.route.target;
        let granted = !(late && self.is_short(&request.service))
            && self.with_budget(&request.service, |b| b.try_withdraw(now));
        metrics::counter!("celerystage_repeats_total", "granted" => granted.to_string())
            .increment(1);
        granted
    }

    /// Whether a service's retry budget has a retry left.
    pub(super) fn has_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.with_budget(service, |b| b.has_retry(now))
    }

    fn is_short(&self, service: &ServiceId) -> bool {
        let placers = self.placers.lock();
        let placer = placers.get(service);
        placer.is_some_and(|p| p.is_short(self.clock.now()))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        access: impl FnOnce(&mut SlidingRetryBudget) -> T,
    ) -> T {
        let bounds = self.settings.bounds;
        let (reserve, rounding) = {
            let reserve = self.retry_reserve.lock();
            (reserve.share(self.clock.now()), reserve.rounding())
        };
        let mut budgets = self.retry_budgets.lock();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            SlidingRetryBudget::new(bounds.retry_ratio, bounds.retry_window, reserve)
        });
        budget.set_reserve(reserve);
        budget.set_rounding(rounding);
        access(budget)
    }

    /// Records the number of live VMs, which share the fixed part of the retry budgets.
    pub(crate) fn note_vms(&self, vms: u32) {
        let now = self.clock.now();
        let mut reserve = self.retry_reserve.lock();
        if !reserve.note_vms(now, vms) {
            return;
        }
        let (shared_by, retries) = (reserve.vms(), reserve.share(now));
        drop(reserve);
        log::info!(vms = vms, shared_by = shared_by, retries = retries; "share of the retry budgets changed");
    }
}

trait RetryIfNotRun {
    fn retry_if_not_run(self) -> Self;
}

impl RetryIfNotRun for Refusal {
    /// Sets the time to retry after, if the request did not run because no endpoint was available.
    fn retry_if_not_run(self) -> Self {
        if self.verdict == Verdict::NotRun && self.reason == Reason::Unavailable {
            return self.with_retry_after(REFUSED_RETRY_AFTER);
        }
        self
    }
}

pub(super) fn endpoint_spec(endpoint: &Endpoint) -> EndpointSpec {
    EndpointSpec {
        id: endpoint.id.clone(),
        zone: endpoint.zone.clone(),
        slots: endpoint.slots,
        cheap: endpoint.cheap,
        started: endpoint.born,
        release: endpoint.release.clone(),
    }
}
