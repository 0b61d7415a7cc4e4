//! The endpoints that serve one model or service, and the requests that wait for them.

use {
    super::{Ask, Lease, Slot},
    admit::{ClassRule, Completion, Queue, QueuedRequest, QueuedRequestId, ShedRequest},
    async_channel::Sender,
    clock::{SharedClock, Stamp},
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

/// The scheduler's answer to a waiting request. A lease that is never taken out of the channel gives
/// its slot back when the channel is dropped.
pub(super) type Decision = Result<Lease, Refusal>;

/// What is charged for a running request.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    /// Class of work.
    pub(crate) class: ClassId,
    /// Organisation that the request runs for.
    pub(crate) org: OrgId,
    /// The organisation's share relative to others.
    pub(crate) weight: u32,
}

/// What is kept of a request that waits.
#[derive(Clone)]
struct Waiter {
    need: Requirements,
    running: Running,
    answer: Sender<Decision>,
}

/// Decisions made under the lock and sent after it is released.
#[derive(Default)]
struct Decided {
    grants: Vec<(Waiter, Candidate)>,
    refusals: Vec<(Waiter, Refusal)>,
}

struct Inner {
    queue: Box<dyn Queue>,
    picker: Box<dyn Picker>,
    waiters: HashMap<QueuedRequestId, Waiter>,
    tiers: HashMap<ClassId, Tier>,
    last_id: u64,
}

/// Endpoints of one model or service with their queue. One lock; it is never held across an await or
/// while a lease is dropped, and no other lock is taken under it.
pub(super) struct Group {
    clock: SharedClock,
    inner: Mutex<Inner>,
}

impl Group {
    pub(super) fn new(
        clock: SharedClock,
        queue: Box<dyn Queue>,
        picker: Box<dyn Picker>,
    ) -> Arc<Self> {
        let inner = Inner {
            queue,
            picker,
            waiters: HashMap::new(),
            tiers: HashMap::new(),
            last_id: 0,
        };
        Arc::new(Self {
            clock,
            inner: Mutex::new(inner),
        })
    }

    /// Takes over the classes and endpoints of a new version.
    pub(super) fn update(self: &Arc<Self>, rules: &[ClassRule], targets: &[Candidate]) {
        let now = self.clock.now();
        let mut decided = Decided::default();
        {
            let mut inner = self.inner.lock();
            inner.queue.set_classes(rules);
            inner.tiers = rules.iter().map(|r| (r.id.clone(), r.tier)).collect();
            inner.picker.set_candidates(now, targets);
            let slots = inner.picker.slots();
            inner.queue.set_capacity(slots);
            inner.pump(now, &mut decided);
        }
        self.send(now, decided);
    }

    /// Adds a request; its decision comes through `answer`.
    pub(super) fn offer(self: &Arc<Self>, ask: Ask, answer: Sender<Decision>) -> QueuedRequestId {
        let now = self.clock.now();
        let mut decided = Decided::default();
        let id = {
            let mut inner = self.inner.lock();
            let id = inner.add(ask, answer, now, &mut decided);
            inner.pump(now, &mut decided);
            id
        };
        self.send(now, decided);
        id
    }

    /// A lease for a request that already runs at an endpoint, given by another scheduler.
    pub(super) fn adopt(self: &Arc<Self>, id: &EndpointId, running: Running) -> Option<Lease> {
        let now = self.clock.now();
        let target = {
            let mut inner = self.inner.lock();
            let tier = inner.tier(&running.class);
            let target = inner.picker.occupy(now, id, tier)?;
            inner.queue.adopted(&running.class, &running.org);
            target
        };
        Some(self.lease(now, target, running))
    }

    fn lease(self: &Arc<Self>, now: Stamp, target: Candidate, running: Running) -> Lease {
        let (endpoint, addr) = (target.id.clone(), target.addr);
        let held = Held {
            group: self.clone(),
            running,
            target,
            since: now,
            tokens: AtomicU64::new(0),
        };
        Lease::new(endpoint, addr, Box::new(held))
    }

    /// Withdraws a request whose caller is gone.
    pub(super) fn cancel(&self, id: QueuedRequestId) {
        let mut inner = self.inner.lock();
        inner.waiters.remove(&id);
        inner.queue.cancel(id);
    }

    /// Refuses what has become too late, and dispatches what can run.
    pub(super) fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut decided = Decided::default();
        {
            let mut inner = self.inner.lock();
            let slots = inner.picker.slots();
            inner.queue.set_capacity(slots);
            let late = inner.queue.expire(now);
            inner.refuse(late, &mut decided);
            inner.pump(now, &mut decided);
        }
        self.send(now, decided);
    }

    fn done(self: &Arc<Self>, held: &Held, ending: RequestOutcome) {
        let now = self.clock.now();
        let mut decided = Decided::default();
        {
            let mut inner = self.inner.lock();
            let tier = inner.tier(&held.running.class);
            inner.picker.release(now, &held.target.id, tier, ending);
            inner.queue.completed(now, &held.completion(now, ending));
            inner.pump(now, &mut decided);
        }
        self.send(now, decided);
    }

    fn send(self: &Arc<Self>, now: Stamp, decided: Decided) {
        for (waiter, refusal) in decided.refusals {
            let _ = waiter.answer.try_send(Err(refusal));
        }
        for (waiter, target) in decided.grants {
            let lease = self.lease(now, target, waiter.running);
            let _ = waiter.answer.try_send(Ok(lease));
        }
    }

    /// Requests that hold a slot.
    pub(super) fn held(&self) -> u32 {
        let picker = &self.inner.lock().picker;
        picker
            .slots()
            .saturating_sub(picker.free_slots(self.clock.now()))
    }

    /// Slots that requests could take now.
    pub(super) fn free(&self) -> u32 {
        let now = self.clock.now();
        self.inner.lock().picker.free_slots(now)
    }

    /// Requests that wait.
    pub(super) fn waiting(&self) -> usize {
        self.inner.lock().queue.len()
    }
}

impl Inner {
    fn add(
        &mut self,
        ask: Ask,
        answer: Sender<Decision>,
        now: Stamp,
        decided: &mut Decided,
    ) -> QueuedRequestId {
        self.last_id += 1;
        let id = QueuedRequestId(self.last_id);
        let running = Running {
            class: ask.class.clone(),
            org: ask.org.clone(),
            weight: ask.weight,
        };
        let need = ask.need.clone();
        self.waiters.insert(
            id,
            Waiter {
                need,
                running,
                answer,
            },
        );
        let shed = self.queue.offer(now, ticket(id, ask));
        self.refuse(shed, decided);
        id
    }

    /// Tier of a class; that of a class which was removed is the lowest.
    fn tier(&self, class: &ClassId) -> Tier {
        self.tiers.get(class).copied().unwrap_or(Tier(u8::MAX))
    }

    /// Dispatches waiting requests while there is room.
    fn pump(&mut self, now: Stamp, decided: &mut Decided) {
        while self.picker.free_slots(now) > 0 {
            let (picker, waiters) = (&self.picker, &self.waiters);
            let mut fits = |t: &QueuedRequest| {
                waiters
                    .get(&t.id)
                    .is_some_and(|w| picker.can_pick(now, &w.need))
            };
            let Some(ticket) = self.queue.dequeue(now, &mut fits) else {
                return;
            };
            let Some(waiter) = self.waiters.remove(&ticket.id) else {
                continue;
            };
            let Some(target) = self.picker.pick(now, &waiter.need) else {
                continue;
            };
            decided.grants.push((waiter, target));
        }
    }

    fn refuse(&mut self, shed: Vec<ShedRequest>, decided: &mut Decided) {
        for s in shed {
            let Some(waiter) = self.waiters.remove(&s.request.id) else {
                continue;
            };
            let message = "the request cannot be served in time";
            let refusal = Refusal::not_run(s.reason, message).retry_in(s.retry_after);
            decided.refusals.push((waiter, refusal));
        }
    }
}

/// The group's side of a lease.
struct Held {
    group: Arc<Group>,
    running: Running,
    target: Candidate,
    since: Stamp,
    tokens: AtomicU64,
}

impl Held {
    fn completion(&self, now: Stamp, ending: RequestOutcome) -> Completion {
        Completion {
            class: self.running.class.clone(),
            org: self.running.org.clone(),
            slot_time: now.since(self.since),
            tokens: Tokens(self.tokens.load(Ordering::Relaxed)),
            complete: ending == RequestOutcome::Completed,
        }
    }
}

impl Slot for Held {
    fn first_token(&self, after: Duration) {
        let now = self.group.clock.now();
        let mut inner = self.group.inner.lock();
        inner.picker.first_token(now, &self.target.id, after);
        inner.queue.first_token(&self.running.class, after);
    }

    fn progress(&self, tokens: Tokens, span: Duration) {
        let now = self.group.clock.now();
        let running = &self.running;
        self.tokens.fetch_add(tokens.0, Ordering::Relaxed);
        let mut inner = self.group.inner.lock();
        inner.picker.progress(now, &self.target.id, tokens, span);
        inner
            .queue
            .charge(&running.class, &running.org, running.weight, tokens);
    }

    fn done(&self, ending: RequestOutcome) {
        self.group.done(self, ending);
    }
}

fn ticket(id: QueuedRequestId, ask: Ask) -> QueuedRequest {
    QueuedRequest {
        id,
        org: ask.org,
        weight: ask.weight,
        class: ask.class,
        tier: ask.tier,
        arrived: ask.arrived,
        deadline: ask.deadline,
        prompt: ask.prompt,
        resumed: ask.resumed,
    }
}
