//! The scheduler of this process.

use {
    super::{Acquiring, Ask, Dispatch, Lease, PolicySettings, Running, group::Group},
    crate::version::View,
    admit::{ClassRule, QueuedRequestId},
    async_channel::bounded,
    clock::SharedClock,
    conf::{Class, Item},
    mesh::{DemandAnswer, DemandLine, Headroom},
    parking_lot::Mutex,
    ports::Endpoint,
    route::Candidate,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::{EndpointId, ModelId, Reason, Refusal, ZoneId},
};

/// When a caller may try again that found no endpoint.
const RETRY: Duration = Duration::from_secs(1);

/// Queues and endpoints of this process. Lock order: `groups` before a group's own lock.
pub(crate) struct Scheduler {
    clock: SharedClock,
    policy: PolicySettings,
    groups: Mutex<BTreeMap<ModelId, Arc<Group>>>,
}

impl Scheduler {
    pub(crate) fn new(clock: SharedClock, policy: PolicySettings) -> Arc<Self> {
        Arc::new(Self {
            clock,
            policy,
            groups: Mutex::default(),
        })
    }

    /// Takes over a new version.
    pub(crate) fn update(&self, view: &View) {
        let rules = class_rules(view);
        let mut groups = self.groups.lock();
        for serves in view.local.keys() {
            let new = || {
                Group::new(
                    self.clock.clone(),
                    self.policy.queue(),
                    self.policy.picker(),
                )
            };
            groups.entry(serves.clone()).or_insert_with(new);
        }
        for (serves, group) in groups.iter() {
            group.update(&rules, &targets(view, serves));
        }
    }

    /// Refuses late requests and dispatches those that can run.
    pub(crate) fn tick(&self) {
        let groups: Vec<_> = self.groups.lock().values().cloned().collect();
        for group in groups {
            group.tick();
        }
    }

    /// Requests that wait and requests that hold a slot, by what they are for.
    pub(crate) fn demand(&self) -> DemandAnswer {
        let groups = self.groups.lock();
        let line = |(serves, group): (&ModelId, &Arc<Group>)| DemandLine {
            serves: serves.clone(),
            waiting: u32::try_from(group.waiting()).unwrap_or(u32::MAX),
            held: group.held(),
        };
        DemandAnswer {
            lines: groups.iter().map(line).collect(),
        }
    }

    /// Free slots and waiting requests of this VM's scheduler.
    pub(crate) fn headroom(&self, zone: &ZoneId) -> Vec<Headroom> {
        let groups = self.groups.lock();
        let line = |(serves, group): (&ModelId, &Arc<Group>)| Headroom {
            zone: zone.clone(),
            serves: serves.clone(),
            free: group.free(),
            waiting: u32::try_from(group.waiting()).unwrap_or(u32::MAX),
            age: Duration::ZERO,
        };
        groups.iter().map(line).collect()
    }

    /// Requests that wait, by what they wait for.
    pub(crate) fn waiting(&self) -> Vec<(ModelId, usize)> {
        self.groups
            .lock()
            .iter()
            .map(|(id, g)| (id.clone(), g.waiting()))
            .collect()
    }

    /// A lease for a request that already runs at an endpoint.
    pub(crate) fn adopt(
        &self,
        serves: &ModelId,
        endpoint: &EndpointId,
        running: Running,
    ) -> Option<Lease> {
        let group = self.groups.lock().get(serves).cloned();
        group?.adopt(endpoint, running)
    }

    /// Waits for a slot of this VM's scheduler, or for the decision that the request is refused.
    pub(crate) async fn decide(&self, ask: Ask) -> Result<Lease, Refusal> {
        let group = self.groups.lock().get(&ask.serves).cloned();
        let group = group.ok_or_else(unavailable)?;
        let (sender, receiver) = bounded(1);
        let id = group.offer(ask, sender);
        let withdraw = Withdraw { group, id };
        let decision = receiver.recv().await;
        drop(withdraw);
        decision.map_err(|_| unavailable())?
    }
}

fn unavailable() -> Refusal {
    Refusal::not_run(Reason::Unavailable, "no endpoint serves this").retry_in(RETRY)
}

impl Dispatch for Scheduler {
    fn acquire(&self, ask: Ask) -> Acquiring<'_> {
        Box::pin(self.decide(ask))
    }
}

/// Withdraws a request from its queue when it is decided or its caller goes away.
struct Withdraw {
    group: Arc<Group>,
    id: QueuedRequestId,
}

impl Drop for Withdraw {
    fn drop(&mut self) {
        self.group.cancel(self.id);
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
        first_token: c.targets.first(),
    };
    classes.map(rule).collect()
}

fn targets(view: &View, serves: &ModelId) -> Vec<Candidate> {
    let slots = view.slots(serves);
    let endpoints = view.local.get(serves).into_iter().flatten();
    let target = |e: &Endpoint| Candidate {
        id: e.id.clone(),
        addr: e.addr,
        cheap: e.cheap,
        slots,
    };
    endpoints.map(target).collect()
}
