//! Configuration and endpoint changes, and the choice of an endpoint for each request.

use {
    super::Node,
    crate::{
        adapter::ResponseHeaders,
        configuration::Config,
        endpoints::{Endpoint, EndpointChange, Registry, RegistryChange},
        request::{RoutedRequest, SlotLease},
    },
    admit::{Forecast, QueueForecast},
    clock::Instant,
    route::{
        EndpointSpec, EngineProfile, FleetRank, LimitNotice, Placement, PlacementOutcome,
        PlacementRequest, Placer, SlidingRetryBudget,
    },
    std::{sync::Arc, time::Duration},
    types::{EndpointId, PerSecond, Reason, Refusal, ServiceId, Verdict},
};

/// Smallest number of VMs that the retry reserve is divided by: at the start not all VMs are known
/// yet.
const ASSUMED_VMS: u32 = 8;
/// `Retry-After` for a request that no endpoint could take: about the time of one request.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Share of the time that a caller has left after which it may still come back and be served.
const MAX_RETURN_SHARE: f64 = 1.0 / 3.0;
/// Smallest part of the longest wait that a refused caller is told, so that callers return spread.
const MIN_RETURN_JITTER: f64 = 0.6;
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
        let mut placers = self.placers.lock();
        for (id, service) in &config.doc.services {
            if !placers.contains_key(id) {
                let profile = service
                    .engine
                    .map(|e| EngineProfile::new(e.memory, e.stride));
                let mut placer = Placer::new(profile);
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
        *current = Some(config);
        self.changed.notify(usize::MAX);
        true
    }

    /// Adds or updates an endpoint.
    pub(crate) fn upsert_endpoint(&self, endpoint: Endpoint) {
        let now = self.clock.now();
        let mut registry = self.registry.lock();
        let change = registry.upsert(now, endpoint.clone());
        if change == RegistryChange::None {
            return;
        }
        // A departure that is known from elsewhere overrides an older list.
        let endpoint = registry.get(&endpoint.id).cloned().unwrap_or(endpoint);
        log::info!(
            endpoint:% = endpoint.id, service:% = endpoint.service, zone:% = endpoint.zone,
            addr:% = endpoint.addr, leaving = endpoint.leaving, cheap = endpoint.cheap, change:? = change;
            "endpoint listed"
        );
        self.record_change(EndpointChange::Listed(endpoint.clone()));
        let mut placers = self.placers.lock();
        if let Some(placer) = placers.get_mut(&endpoint.service) {
            if endpoint.leaving {
                placer.remove_endpoint(&endpoint.id);
            } else {
                placer.upsert_endpoint(now, endpoint_spec(&endpoint));
                placer.restrict(now, &endpoint.id, registry.restriction(&endpoint.id));
            }
        }
    }

    /// Closes an endpoint whose response, to this VM or to another, said that it leaves. Returns
    /// whether it was open.
    pub(crate) fn mark_leaving(&self, id: &EndpointId, born: u64) -> bool {
        let mut registry = self.registry.lock();
        let change = registry.mark_leaving(self.clock.now(), id, born);
        if change != RegistryChange::Leaving {
            return false;
        }
        if let Some(endpoint) = registry.get(id).cloned() {
            let mut placers = self.placers.lock();
            if let Some(placer) = placers.get_mut(&endpoint.service) {
                placer.remove_endpoint(id);
            }
            drop(placers);
            self.record_change(EndpointChange::Listed(endpoint));
        }
        true
    }

    /// Applies what a response of an endpoint says of the endpoint itself.
    pub(crate) fn note_response(
        &self,
        slot: &SlotLease,
        request: &RoutedRequest,
        (status, said): (u16, &ResponseHeaders),
    ) {
        // The response of another instance at the same address says nothing of this one.
        if said.misdirected {
            return;
        }
        let id = slot.endpoint();
        let notice = said.notice;
        let now = self.clock.now();
        if notice.leaving && self.mark_leaving(id, slot.born) {
            log::info!(endpoint:% = id, request:% = request.caller.id, status = status; "endpoint says that it leaves");
        }
        if let Some(time) = notice.busy_for {
            let mut registry = self.registry.lock();
            registry.close(now, id, slot.born, now + time);
            self.restrict(&registry, id);
            log::info!(
                endpoint:% = id, request:% = request.caller.id, status = status,
                busy_ms = time.as_millis() as u64;
                "endpoint refuses requests for a time"
            );
        }
        let mut registry = self.registry.lock();
        if registry.set_limit(now, (id, slot.born), notice.limit) {
            self.restrict(&registry, id);
            log::info!(
                endpoint:% = id, request:% = request.caller.id, status = status,
                limit = notice.limit.map_or(-1.0, PerSecond::get);
                "endpoint changed its limit"
            );
        }
    }

    /// Applies the limit that an endpoint named in a response to another VM. Returns whether the
    /// known limit changed.
    pub(crate) fn learn_limit(&self, notice: &LimitNotice) -> bool {
        let mut registry = self.registry.lock();
        let changed = registry.learn_limit(self.clock.now(), notice);
        if changed {
            self.restrict(&registry, &notice.id);
        }
        changed
    }

    /// Applies what an endpoint has said of itself to its placer.
    fn restrict(&self, registry: &Registry, id: &EndpointId) {
        let Some(endpoint) = registry.get(id) else {
            return;
        };
        let mut placers = self.placers.lock();
        if let Some(placer) = placers.get_mut(&endpoint.service) {
            placer.restrict(self.clock.now(), id, registry.restriction(id));
        }
    }

    /// Sets the position of this VM in the fleet.
    pub(crate) fn set_rank(&self, rank: Option<FleetRank>) {
        let now = self.clock.now();
        let mut placers = self.placers.lock();
        placers.values_mut().for_each(|p| p.set_rank(now, rank));
    }

    /// Whether the endpoint of a lease still takes requests: it may have closed while a connection
    /// was opened.
    pub(crate) fn still_accepts(&self, slot: &SlotLease) -> bool {
        let id = slot.endpoint();
        let registry = self.registry.lock();
        let placers = self.placers.lock();
        let placer = placers.get(slot.service());
        registry.accepting(id).is_some() && placer.is_some_and(|p| p.is_open(self.clock.now(), id))
    }

    /// Removes an endpoint that the platform no longer lists, unless it may have lapsed in an
    /// outage.
    pub(crate) fn remove_endpoint(&self, id: &EndpointId) {
        let now = self.clock.now();
        let mut registry = self.registry.lock();
        let change = registry.remove(now, id);
        log::info!(endpoint:% = id, change:? = change; "endpoint removed from the list");
        if change == RegistryChange::Removed {
            self.remove_from_placers(std::slice::from_ref(id));
        }
    }

    /// Removes an endpoint that the zone's reader has removed.
    pub(crate) fn remove_endpoint_now(&self, id: &EndpointId) {
        let mut registry = self.registry.lock();
        let change = registry.remove_now(id);
        log::info!(endpoint:% = id, change:? = change; "endpoint removed by the zone's reader");
        if change == RegistryChange::Removed {
            self.remove_from_placers(std::slice::from_ref(id));
        }
    }

    /// Known endpoints that are absent from `listed`, a complete list.
    pub(crate) fn absent_endpoints(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        self.registry.lock().absent_from(listed)
    }

    /// Removes lapsed endpoints whose grace period has ended.
    pub(crate) fn drop_expired(&self) {
        let now = self.clock.now();
        let mut registry = self.registry.lock();
        let expired = registry.expire(now);
        for id in &expired {
            log::info!(endpoint:% = id; "lapsed endpoint removed");
        }
        self.remove_from_placers(&expired);
        for id in registry.expire_notices(now) {
            log::info!(endpoint:% = id; "limit of an endpoint expired");
            self.restrict(&registry, &id);
        }
    }

    fn record_change(&self, change: EndpointChange) {
        self.history.lock().add(change);
        self.changed.notify(usize::MAX);
    }

    /// Records the removal of endpoints and removes them from the placers. Called with the registry
    /// locked.
    fn remove_from_placers(&self, ids: &[EndpointId]) {
        if ids.is_empty() {
            return;
        }
        ids.iter()
            .for_each(|id| self.record_change(EndpointChange::Gone(id.clone())));
        let mut placers = self.placers.lock();
        for placer in placers.values_mut() {
            ids.iter().for_each(|id| placer.remove_endpoint(id));
        }
    }

    /// Chooses an endpoint for a request and reserves a slot there. `avoid` are the endpoints tried
    /// before.
    pub(crate) fn acquire_slot(
        self: &Arc<Self>,
        request: &RoutedRequest,
        avoid: &[EndpointId],
    ) -> Result<SlotLease, Refusal> {
        let now = self.clock.now();
        let config = self.config();
        let placement_request = PlacementRequest {
            zone: &self.settings.zone,
            urgency: request.urgency,
            target: request.route.target,
            max_pause: request.route.pause,
            prompt: request.caller.prompt.as_ref(),
            avoid,
        };
        let registry = self.registry.lock();
        let mut placers = self.placers.lock();
        let placer = placers.get_mut(&request.service);
        let placement = placer.and_then(|p| p.place(now, &placement_request));
        let Some(placement) = placement else {
            let retry_after = placers
                .get_mut(&request.service)
                .and_then(|p| p.schedule_return(now));
            drop(placers);
            return Err(match retry_after {
                Some(wait) => request.all_busy(wait.mul_f64(1.0 + fastrand::f64() * BUSY_JITTER)),
                None => self.failure_refusal(request, "no other endpoint is listed"),
            });
        };
        request.record_forecast(&placement);
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
        Ok(SlotLease::new(
            self.clone(),
            request.service.clone(),
            placement,
            &target,
            kv_source,
        ))
    }

    /// Whether an endpoint has been silent for long towards all requests of this VM.
    pub(crate) fn is_silent(&self, service: &ServiceId, id: &EndpointId) -> bool {
        let placers = self.placers.lock();
        let placer = placers.get(service);
        placer.is_some_and(|p| p.is_silent(self.clock.now(), id))
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

    /// Takes a retry from its service's retry budget; false if the budget is spent.
    pub(crate) fn take_retry(&self, request: &RoutedRequest) -> bool {
        let now = self.clock.now();
        let granted = self.with_budget(&request.service, |b| b.try_withdraw(now));
        metrics::counter!("celerystage_repeats_total", "granted" => granted.to_string())
            .increment(1);
        granted
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        access: impl FnOnce(&mut SlidingRetryBudget) -> T,
    ) -> T {
        let bounds = self.settings.bounds;
        let mut budgets = self.retry_budgets.lock();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let reserve = bounds.retry_reserve / f64::from(ASSUMED_VMS);
            SlidingRetryBudget::new(bounds.retry_ratio, bounds.retry_window, reserve)
        });
        access(budget)
    }

    /// Divides the fixed part of the retry budgets among the live VMs.
    pub(crate) fn set_budget_reserves(&self, vms: u32) {
        let reserve = self.settings.bounds.retry_reserve / f64::from(vms.max(ASSUMED_VMS));
        let mut budgets = self.retry_budgets.lock();
        budgets.values_mut().for_each(|b| b.set_reserve(reserve));
    }
}

/// Admission control at the chosen endpoint; the error is the time after which the caller may retry.
fn admit_at(
    now: Instant,
    config: Option<&Config>,
    request: &RoutedRequest,
    placer: &Placer,
    placement: &Placement,
) -> Result<(), Duration> {
    if request.sends() > 0 || request.caller.prompt.is_none() {
        return Ok(());
    }
    let classes = config
        .into_iter()
        .flat_map(|c| c.more_urgent(&request.service, request.urgency));
    let more_urgent = classes.map(|class| QueueForecast {
        delay: placer.queue_delay(now, placement, class.urgency),
        target: class.target,
        tier: class.tier,
    });
    let forecast = Forecast {
        queue: QueueForecast {
            delay: placement.queue_delay,
            target: request.route.target,
            tier: request.tier,
        },
        predicted: placement.predicted,
        remaining: request.deadline.since(now),
        jitter: fastrand::f64(),
    };
    admit::admit(&forecast, more_urgent)
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

fn endpoint_spec(endpoint: &Endpoint) -> EndpointSpec {
    EndpointSpec {
        id: endpoint.id.clone(),
        zone: endpoint.zone.clone(),
        slots: endpoint.slots,
        cheap: endpoint.cheap,
        started: endpoint.born,
    }
}
