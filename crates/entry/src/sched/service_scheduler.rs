//! Scheduler of one model or service: its endpoints and the queue of requests for them.

use {
    super::{Slot, SlotLease, SlotRequest},
    admit::{ClassRule, Completion, Queue, QueuedRequest, QueuedRequestId, ShedRequest},
    async_channel::Sender,
    clock::{Instant, SharedClock},
    parking_lot::Mutex,
    route::{Candidate, Picker, RequestOutcome, Requirements},
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    types::{ClassId, EndpointId, OrgId, Refusal, Tier, Tokens},
};

/// The decision on a waiting request. A lease that is never received from the channel is released
/// when the channel is dropped.
pub(super) type Decision = Result<SlotLease, Refusal>;

/// The class and organisation that a running request is charged to.
#[derive(Debug, Clone)]
pub(crate) struct Attribution {
    /// Class of the request.
    pub(crate) class: ClassId,
    /// Organisation that the request runs for.
    pub(crate) org: OrgId,
    /// The organisation's weight in fair sharing.
    pub(crate) weight: u32,
}

/// A waiting request.
#[derive(Clone)]
struct Waiter {
    requirements: Requirements,
    attribution: Attribution,
    reply: Sender<Decision>,
}

/// Decisions that are made under the lock and delivered after it is released.
#[derive(Default)]
struct Decisions {
    grants: Vec<(Waiter, Candidate)>,
    refusals: Vec<(Waiter, Refusal)>,
}

struct State {
    queue: Box<dyn Queue>,
    picker: Box<dyn Picker>,
    waiters: HashMap<QueuedRequestId, Waiter>,
    tiers: HashMap<ClassId, Tier>,
    last_id: u64,
}

/// Endpoints of one model or service, and the queue for them. The lock is never held across an
/// await or while a lease is dropped, and no other lock is taken under it.
pub(super) struct ServiceScheduler {
    clock: SharedClock,
    state: Mutex<State>,
}

impl ServiceScheduler {
    pub(super) fn new(
        clock: SharedClock,
        queue: Box<dyn Queue>,
        picker: Box<dyn Picker>,
    ) -> Arc<Self> {
        let state = State {
            queue,
            picker,
            waiters: HashMap::new(),
            tiers: HashMap::new(),
            last_id: 0,
        };
        Arc::new(Self {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Applies the classes and endpoints of a new view.
    pub(super) fn update(self: &Arc<Self>, rules: &[ClassRule], candidates: &[Candidate]) {
        let now = self.clock.now();
        let mut decisions = Decisions::default();
        {
            let mut state = self.state.lock();
            state.queue.set_classes(rules);
            state.tiers = rules.iter().map(|r| (r.id.clone(), r.tier)).collect();
            state.picker.set_candidates(now, candidates);
            let slots = state.picker.slots();
            state.queue.set_capacity(slots);
            state.dispatch(now, &mut decisions);
        }
        self.deliver(now, decisions);
    }

    /// Queues a request. Its decision is sent through `reply`.
    pub(super) fn enqueue(
        self: &Arc<Self>,
        request: SlotRequest,
        reply: Sender<Decision>,
    ) -> QueuedRequestId {
        let now = self.clock.now();
        let mut decisions = Decisions::default();
        let id = {
            let mut state = self.state.lock();
            let id = state.insert(request, reply, now, &mut decisions);
            state.dispatch(now, &mut decisions);
            id
        };
        self.deliver(now, decisions);
        id
    }

    /// A lease for a request that already runs at an endpoint under another scheduler's lease.
    pub(super) fn adopt(
        self: &Arc<Self>,
        id: &EndpointId,
        attribution: Attribution,
    ) -> Option<SlotLease> {
        let now = self.clock.now();
        let candidate = {
            let mut state = self.state.lock();
            let tier = state.tier(&attribution.class);
            let candidate = state.picker.occupy(now, id, tier)?;
            state.queue.adopted(&attribution.class, &attribution.org);
            candidate
        };
        Some(self.lease(now, candidate, attribution))
    }

    fn lease(
        self: &Arc<Self>,
        now: Instant,
        candidate: Candidate,
        attribution: Attribution,
    ) -> SlotLease {
        let (endpoint, addr) = (candidate.id.clone(), candidate.addr);
        let slot = LocalSlot {
            scheduler: self.clone(),
            attribution,
            candidate,
            granted_at: now,
            tokens: AtomicU64::new(0),
        };
        SlotLease::new(endpoint, addr, Box::new(slot))
    }

    /// Removes a request from the queue.
    pub(super) fn cancel(&self, id: QueuedRequestId) {
        let mut state = self.state.lock();
        state.waiters.remove(&id);
        state.queue.cancel(id);
    }

    /// Refuses requests that can no longer be served in time, and dispatches those that fit.
    pub(super) fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut decisions = Decisions::default();
        {
            let mut state = self.state.lock();
            let slots = state.picker.slots();
            state.queue.set_capacity(slots);
            let late = state.queue.expire(now);
            state.refuse(late, &mut decisions);
            state.dispatch(now, &mut decisions);
        }
        self.deliver(now, decisions);
    }

    fn release(self: &Arc<Self>, slot: &LocalSlot, outcome: RequestOutcome) {
        let now = self.clock.now();
        let mut decisions = Decisions::default();
        {
            let mut state = self.state.lock();
            let tier = state.tier(&slot.attribution.class);
            state.picker.release(now, &slot.candidate.id, tier, outcome);
            state.queue.completed(now, &slot.completion(now, outcome));
            state.dispatch(now, &mut decisions);
        }
        self.deliver(now, decisions);
    }

    fn deliver(self: &Arc<Self>, now: Instant, decisions: Decisions) {
        for (waiter, refusal) in decisions.refusals {
            let _ = waiter.reply.try_send(Err(refusal));
        }
        for (waiter, candidate) in decisions.grants {
            let lease = self.lease(now, candidate, waiter.attribution);
            let _ = waiter.reply.try_send(Ok(lease));
        }
    }

    /// Number of slots that requests hold.
    pub(super) fn slots_in_use(&self) -> u32 {
        let picker = &self.state.lock().picker;
        picker
            .slots()
            .saturating_sub(picker.free_slots(self.clock.now()))
    }

    /// Number of slots that are free now.
    pub(super) fn free_slots(&self) -> u32 {
        let now = self.clock.now();
        self.state.lock().picker.free_slots(now)
    }

    /// Number of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        self.state.lock().queue.len()
    }
}

impl State {
    fn insert(
        &mut self,
        request: SlotRequest,
        reply: Sender<Decision>,
        now: Instant,
        decisions: &mut Decisions,
    ) -> QueuedRequestId {
        self.last_id += 1;
        let id = QueuedRequestId(self.last_id);
        let attribution = Attribution {
            class: request.class.clone(),
            org: request.org.clone(),
            weight: request.weight,
        };
        let requirements = request.requirements.clone();
        self.waiters.insert(
            id,
            Waiter {
                requirements,
                attribution,
                reply,
            },
        );
        let shed = self.queue.offer(now, queued_request(id, request));
        self.refuse(shed, decisions);
        id
    }

    /// Tier of a class; the lowest for a class that is no longer configured.
    fn tier(&self, class: &ClassId) -> Tier {
        self.tiers.get(class).copied().unwrap_or(Tier(u8::MAX))
    }

    /// Dispatches waiting requests while slots are free.
    fn dispatch(&mut self, now: Instant, decisions: &mut Decisions) {
        while self.picker.free_slots(now) > 0 {
            let (picker, waiters) = (&self.picker, &self.waiters);
            let mut fits = |r: &QueuedRequest| {
                waiters
                    .get(&r.id)
                    .is_some_and(|w| picker.can_pick(now, &w.requirements))
            };
            let Some(queued) = self.queue.dequeue(now, &mut fits) else {
                return;
            };
            let Some(waiter) = self.waiters.remove(&queued.id) else {
                continue;
            };
            let Some(candidate) = self.picker.pick(now, &waiter.requirements) else {
                continue;
            };
            decisions.grants.push((waiter, candidate));
        }
    }

    fn refuse(&mut self, shed: Vec<ShedRequest>, decisions: &mut Decisions) {
        for s in shed {
            let Some(waiter) = self.waiters.remove(&s.request.id) else {
                continue;
            };
            let message = "the request cannot be served in time";
            let refusal = Refusal::not_run(s.reason, message).with_retry_after(s.retry_after);
            decisions.refusals.push((waiter, refusal));
        }
    }
}

/// Scheduler side of a lease that is granted to a request of this process or of another entry.
struct LocalSlot {
    scheduler: Arc<ServiceScheduler>,
    attribution: Attribution,
    candidate: Candidate,
    granted_at: Instant,
    tokens: AtomicU64,
}

impl LocalSlot {
    fn completion(&self, now: Instant, outcome: RequestOutcome) -> Completion {
        Completion {
            class: self.attribution.class.clone(),
            org: self.attribution.org.clone(),
            slot_time: now.since(self.granted_at),
            tokens: Tokens(self.tokens.load(Ordering::Relaxed)),
            complete: outcome == RequestOutcome::Completed,
        }
    }
}

impl Slot for LocalSlot {
    fn record_first_token(&self, after: Duration) {
        let now = self.scheduler.clock.now();
        let mut state = self.scheduler.state.lock();
        state
            .picker
            .record_first_token(now, &self.candidate.id, after);
        state
            .queue
            .record_first_token(&self.attribution.class, after);
    }

    fn record_progress(&self, tokens: Tokens, span: Duration) {
        let now = self.scheduler.clock.now();
        let attribution = &self.attribution;
        self.tokens.fetch_add(tokens.0, Ordering::Relaxed);
        let mut state = self.scheduler.state.lock();
        state
            .picker
            .record_progress(now, &self.candidate.id, tokens, span);
        state.queue.charge(
            &attribution.class,
            &attribution.org,
            attribution.weight,
            tokens,
        );
    }

    fn release(&self, outcome: RequestOutcome) {
        self.scheduler.release(self, outcome);
    }
}

fn queued_request(id: QueuedRequestId, request: SlotRequest) -> QueuedRequest {
    QueuedRequest {
        id,
        org: request.org,
        weight: request.weight,
        class: request.class,
        tier: request.tier,
        arrived: request.arrived,
        deadline: request.deadline,
        prompt: request.prompt_tokens,
        resumed: request.resumed,
    }
}
