//! Places of requests at endpoints.

use {
    super::Node,
    crate::{
        fleet::{Endpoint, ListChange, RegistryChange},
        request::{Job, Slot},
        version::Catalog,
    },
    admit::Forecast,
    clock::Stamp,
    route::{
        EndpointSpec, EngineProfile, Placement, PlacementOutcome, PlacementRequest, Placer,
        SlidingRetryBudget,
    },
    std::{sync::Arc, time::Duration},
    types::{EndpointId, Reason, Refusal, ServiceId, Verdict},
};

/// VMs that the retry budget is shared among before all of them are heard.
const ASSUMED_VMS: usize = 8;
/// When a caller may try again after an endpoint refused its request as full: about one request's time.
const FULL_RETRY: Duration = Duration::from_millis(400);

impl Node {
    /// Puts a newer configuration in force; an older one, as a stale read may bring, is dropped.
    pub(crate) fn apply(&self, catalog: Arc<Catalog>) -> bool {
        let mut current = self.catalog.write();
        let old = current.as_ref().map(|c| c.doc.version);
        if old >= Some(catalog.doc.version) {
            return false;
        }
        let now = self.clock.now();
        let registry = self.registry.lock();
        let mut placers = self.placers.lock();
        for (id, service) in &catalog.doc.services {
            if !placers.contains_key(id) {
                let profile = service
                    .engine
                    .map(|e| EngineProfile::new(e.memory, e.stride));
                let mut placer = Placer::new(profile);
                let open = registry.all().filter(|e| e.service == *id && !e.leaving);
                open.for_each(|e| placer.upsert_endpoint(now, place_of(e)));
                placers.insert(id.clone(), placer);
            }
        }
        log::info!(
            version = catalog.doc.version.0,
            replaced = old.map_or(0, |v| v.0),
            routes = catalog.doc.routes.len(),
            services = catalog.doc.services.len();
            "configuration in force"
        );
        *current = Some(catalog);
        self.news.notify(usize::MAX);
        true
    }

    /// Takes in a listed endpoint.
    pub(crate) fn list(&self, endpoint: Endpoint) {
        let mut registry = self.registry.lock();
        let change = registry.list(endpoint.clone());
        if change == RegistryChange::None {
            return;
        }
        log::info!(
            endpoint:% = endpoint.id, service:% = endpoint.service, zone:% = endpoint.zone,
            addr:% = endpoint.addr, leaving = endpoint.leaving, cheap = endpoint.cheap, change:? = change;
            "endpoint listed"
        );
        self.remember(ListChange::Listed(endpoint.clone()));
        let mut placers = self.placers.lock();
        if let Some(placer) = placers.get_mut(&endpoint.service) {
            if endpoint.leaving {
                placer.remove_endpoint(&endpoint.id);
            } else {
                placer.upsert_endpoint(self.clock.now(), place_of(&endpoint));
            }
        }
    }

    /// Takes in that an endpoint is no longer listed.
    pub(crate) fn unlist(&self, id: &EndpointId) {
        let now = self.clock.now();
        let mut registry = self.registry.lock();
        let change = registry.unlist(now, id);
        log::info!(endpoint:% = id, change:? = change; "endpoint unlisted");
        if change == RegistryChange::Removed {
            self.drop_places(std::slice::from_ref(id));
        }
    }

    /// Takes in that another VM, which follows the platform, has given an endpoint up.
    pub(crate) fn forget(&self, id: &EndpointId) {
        let mut registry = self.registry.lock();
        let change = registry.forget(id);
        log::info!(endpoint:% = id, change:? = change; "endpoint given up by the reader");
        if change == RegistryChange::Removed {
            self.drop_places(std::slice::from_ref(id));
        }
    }

    /// Endpoints that are not in a whole list.
    pub(crate) fn missing(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        self.registry.lock().missing(listed)
    }

    /// Drops lapsed endpoints whose grace is over.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        let mut registry = self.registry.lock();
        let expired = registry.expire(now);
        for id in &expired {
            log::info!(endpoint:% = id; "lapsed endpoint dropped");
        }
        self.drop_places(&expired);
    }

    fn remember(&self, change: ListChange) {
        self.history.lock().add(change);
        self.news.notify(usize::MAX);
    }

    /// Called with the registry locked.
    fn drop_places(&self, ids: &[EndpointId]) {
        if ids.is_empty() {
            return;
        }
        ids.iter()
            .for_each(|id| self.remember(ListChange::Gone(id.clone())));
        let mut placers = self.placers.lock();
        for placer in placers.values_mut() {
            ids.iter().for_each(|id| placer.remove_endpoint(id));
        }
    }

    /// Chooses an endpoint for a request.
    pub(crate) fn place(
        self: &Arc<Self>,
        job: &Job,
        avoid: &[EndpointId],
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let wish = PlacementRequest {
            zone: &self.settings.zone,
            tier: job.tier,
            target: job.route.target,
            max_pause: job.route.pause,
            prompt: job.caller.prompt.as_ref(),
            avoid,
        };
        let registry = self.registry.lock();
        let mut placers = self.placers.lock();
        let placer = placers.get_mut(&job.service);
        let choice = placer.and_then(|p| p.place(now, &wish));
        let Some(choice) = choice else {
            return Err(job.unplaced("no endpoint is listed").retry_if_not_run());
        };
        job.forecast(&choice);
        if let Err(wait) = self.admit(job, &choice, now) {
            let slot = choice;
            if let Some(placer) = placers.get_mut(&job.service) {
                placer.finish(now, &slot, PlacementOutcome::Cancelled);
            }
            return Err(job.overloaded(wait));
        }
        let addr = registry.open(&choice.id).map(|e| e.addr);
        let source = choice.kv_source.as_ref().and_then(|id| registry.open(id));
        let fetch = source.map(|e| e.addr);
        drop(placers);
        drop(registry);
        let Some(addr) = addr else {
            log::error!(endpoint:% = choice.id; "placer holds an endpoint that is not listed");
            return Err(job.unplaced("endpoint is not listed"));
        };
        Ok(Slot::new(
            self.clone(),
            job.service.clone(),
            choice,
            addr,
            fetch,
        ))
    }

    /// Whether a request is let in at a chosen endpoint; an error is the time to come back after.
    fn admit(&self, job: &Job, choice: &Placement, now: Stamp) -> Result<(), Duration> {
        if job.sends() > 0 || job.caller.prompt.is_none() {
            return Ok(());
        }
        admit::admit(&Forecast {
            queue_delay: choice.queue_delay,
            predicted: choice.predicted,
            target: job.route.target,
            remaining: job.ends.since(now),
            tier: job.tier,
            jitter: fastrand::f64(),
        })
    }

    /// Whether an endpoint shows no sign of life.
    pub(crate) fn is_silent(&self, service: &ServiceId, id: &EndpointId) -> bool {
        let placers = self.placers.lock();
        let placer = placers.get(service);
        placer.is_some_and(|p| p.is_silent(self.clock.now(), id))
    }

    /// The refusal after the last endpoint failed the request.
    pub(crate) fn refusal_after(&self, job: &Job, cause: &'static str) -> Refusal {
        job.unplaced(cause).retry_if_not_run()
    }

    /// Counts a request in its service's retry budget.
    pub(crate) fn earn(&self, job: &Job) {
        let now = self.clock.now();
        self.with_budget(&job.service, |b| b.deposit(now));
    }

    /// Takes a repeat out of the service's retry budget.
    pub(crate) fn take_repeat(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let granted = self.with_budget(&job.service, |b| b.try_withdraw(now));
        metrics::counter!("celerystage_repeats_total", "granted" => granted.to_string())
            .increment(1);
        granted
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        work: impl FnOnce(&mut SlidingRetryBudget) -> T,
    ) -> T {
        let rules = self.settings.rules;
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let extra = rules.retry_extra / ASSUMED_VMS as f64;
            SlidingRetryBudget::new(rules.retry_ratio, rules.retry_window, extra)
        });
        work(budget)
    }

    /// Shares the retry budget's fixed part among the VMs heard.
    pub(crate) fn share_budgets(&self, vms: usize) {
        let extra = self.settings.rules.retry_extra / vms.max(ASSUMED_VMS) as f64;
        let mut budgets = self.budgets.lock();
        budgets.values_mut().for_each(|b| b.set_reserve(extra));
    }
}

trait RetryIfNotRun {
    fn retry_if_not_run(self) -> Self;
}

impl RetryIfNotRun for Refusal {
    /// Tells when to come back, where the request did not run.
    fn retry_if_not_run(self) -> Self {
        if self.verdict == Verdict::NotRun && self.reason == Reason::Unavailable {
            return self.retry_in(FULL_RETRY);
        }
        self
    }
}

fn place_of(endpoint: &Endpoint) -> EndpointSpec {
    EndpointSpec {
        id: endpoint.id.clone(),
        zone: endpoint.zone.clone(),
        slots: endpoint.slots,
        cheap: endpoint.cheap,
        started: endpoint.born,
    }
}
