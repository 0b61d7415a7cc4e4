//! The scheduler of this process, for all models and services.

use {
    super::{
        AcquireFuture, Attribution, Dispatcher, PolicySettings, SlotLease, SlotRequest,
        service_scheduler::ServiceScheduler,
    },
    crate::version::View,
    admit::{ClassRule, QueuedRequestId},
    async_channel::bounded,
    clock::SharedClock,
    conf::{Class, Item},
    mesh::{DemandLine, DemandReport, Headroom},
    parking_lot::Mutex,
    ports::Endpoint,
    route::Candidate,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::{EndpointId, ModelId, Reason, Refusal, ZoneId},
};

/// Suggested retry delay for a request that no endpoint serves.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// Schedules requests to this zone's endpoints. Lock order: `services` before a service's own lock.
pub(crate) struct Scheduler {
    clock: SharedClock,
    policy: PolicySettings,
    services: Mutex<BTreeMap<ModelId, Arc<ServiceScheduler>>>,
}

impl Scheduler {
    pub(crate) fn new(clock: SharedClock, policy: PolicySettings) -> Arc<Self> {
        Arc::new(Self {
            clock,
            policy,
            services: Mutex::default(),
        })
    }

    /// Applies a new view. A service that is no longer listed is kept without endpoints.
    pub(crate) fn update(&self, view: &View) {
        let rules = class_rules(view);
        let mut services = self.services.lock();
        for serves in view.local_endpoints.keys() {
            let new = || {
                ServiceScheduler::new(
                    self.clock.clone(),
                    self.policy.queue(),
                    self.policy.picker(),
                )
            };
            services.entry(serves.clone()).or_insert_with(new);
        }
        for (serves, service) in services.iter() {
            service.update(&rules, &candidates(view, serves));
        }
    }

    /// Refuses requests that can no longer be served in time, and dispatches those that fit.
    pub(crate) fn tick(&self) {
        let services: Vec<_> = self.services.lock().values().cloned().collect();
        for service in services {
            service.tick();
        }
    }

    /// Waiting requests and slots in use, by model or service.
    pub(crate) fn demand(&self) -> DemandReport {
        let services = self.services.lock();
        let line = |(serves, service): (&ModelId, &Arc<ServiceScheduler>)| DemandLine {
            serves: serves.clone(),
            waiting: u32::try_from(service.waiting()).unwrap_or(u32::MAX),
            running: service.slots_in_use(),
        };
        DemandReport {
            lines: services.iter().map(line).collect(),
        }
    }

    /// Free slots and waiting requests, by model or service.
    pub(crate) fn headroom(&self, zone: &ZoneId) -> Vec<Headroom> {
        let services = self.services.lock();
        let line = |(serves, service): (&ModelId, &Arc<ServiceScheduler>)| Headroom {
            zone: zone.clone(),
            serves: serves.clone(),
            free: service.free_slots(),
            waiting: u32::try_from(service.waiting()).unwrap_or(u32::MAX),
            age: Duration::ZERO,
        };
        services.iter().map(line).collect()
    }

    /// Number of waiting requests, by model or service.
    pub(crate) fn waiting(&self) -> Vec<(ModelId, usize)> {
        self.services
            .lock()
            .iter()
            .map(|(id, s)| (id.clone(), s.waiting()))
            .collect()
    }

    /// A lease for a request that already runs at an endpoint under another scheduler's lease.
    pub(crate) fn adopt(
        &self,
        serves: &ModelId,
        endpoint: &EndpointId,
        attribution: Attribution,
    ) -> Option<SlotLease> {
        let service = self.services.lock().get(serves).cloned();
        service?.adopt(endpoint, attribution)
    }

    /// Waits until this scheduler grants a slot or refuses the request.
    pub(crate) async fn wait_for_slot(&self, request: SlotRequest) -> Result<SlotLease, Refusal> {
        let service = self.services.lock().get(&request.serves).cloned();
        let service = service.ok_or_else(no_endpoint)?;
        let (sender, receiver) = bounded(1);
        let id = service.enqueue(request, sender);
        let cancel = CancelOnDrop { service, id };
        let decision = receiver.recv().await;
        drop(cancel);
        decision.map_err(|_| no_endpoint())?
    }
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(Reason::Unavailable, "no endpoint serves this")
        .with_retry_after(NO_ENDPOINT_RETRY)
}

impl Dispatcher for Scheduler {
    fn acquire(&self, request: SlotRequest) -> AcquireFuture<'_> {
        Box::pin(self.wait_for_slot(request))
    }
}

/// Removes a request from its queue when dropped; has no effect once the request is decided.
struct CancelOnDrop {
    service: Arc<ServiceScheduler>,
    id: QueuedRequestId,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.service.cancel(self.id);
    }
}

fn class_rules(view: &View) -> Vec<ClassRule> {
    let classes = view.config.items().filter_map(|(_, e)| match &e.item {
        Item::Class(class) => Some(class),
        _ => None,
    });
    let rule = |c: &Class| ClassRule {
        id: c.id.clone(),
        tier: c.tier,
        depth: c.queue as usize,
        starvation_limit: Duration::from_millis(c.starve_ms.into()),
        first_token: c.targets.first_token(),
    };
    classes.map(rule).collect()
}

fn candidates(view: &View, serves: &ModelId) -> Vec<Candidate> {
    let slots = view.slots_per_endpoint(serves);
    let endpoints = view.local_endpoints.get(serves).into_iter().flatten();
    let candidate = |e: &Endpoint| Candidate {
        id: e.id.clone(),
        addr: e.addr,
        cheap: e.cheap,
        slots,
    };
    endpoints.map(candidate).collect()
}
