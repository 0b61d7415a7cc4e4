//! Queue of one class, with fair sharing between organisations.

use {
    super::org_queue::{OrgQueue, QueueKey},
    crate::{
        ClassRule, Completion, QueuedRequest, QueuedRequestId,
        average::{Mean, Rate},
    },
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::{OrgId, Tokens},
};

/// Minimum expected cost of a request, in tokens.
const MIN_COST: f64 = 1.0;
/// Minimum time between sweeps of idle organisations.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Waiting requests of one class by organisation, with measured times and rates.
#[derive(Debug)]
pub(super) struct ClassQueue {
    pub(super) rule: ClassRule,
    pub(super) len: usize,
    orgs: BTreeMap<OrgId, OrgQueue>,
    /// Highest projected usage of an organisation when it was dispatched. Organisations that are new
    /// or return from idle start here while no other organisation waits.
    usage_floor: f64,
    /// First arrival since the last dispatch.
    waiting_since: Option<Instant>,
    last_arrival: Instant,
    last_sweep: Instant,
    slot_time: Mean,
    first_token: Mean,
    request_cost: Mean,
    dispatches: Rate,
}

impl ClassQueue {
    pub(super) fn new(rule: ClassRule) -> Self {
        Self {
            rule,
            len: 0,
            orgs: BTreeMap::new(),
            usage_floor: 0.0,
            waiting_since: None,
            last_arrival: Instant::default(),
            last_sweep: Instant::default(),
            slot_time: Mean::default(),
            first_token: Mean::default(),
            request_cost: Mean::default(),
            dispatches: Rate::default(),
        }
    }

    /// Records an arrival, including requests that are then refused.
    pub(super) fn record_arrival(&mut self, now: Instant) {
        if self.len == 0 && now.since(self.last_arrival) > self.rule.starvation_limit {
            self.waiting_since = None;
        }
        self.waiting_since.get_or_insert(now);
        self.last_arrival = now;
    }

    /// When the class must be dispatched next: half the starvation limit after the first arrival
    /// since the last dispatch.
    pub(super) fn due(&self) -> Option<Instant> {
        self.waiting_since
            .map(|s| s + self.rule.starvation_limit / 2)
    }

    /// Whether a dispatch of the class is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.due().is_some_and(|due| due <= now)
    }

    pub(super) fn enqueue(&mut self, request: QueuedRequest) {
        let lowest = self.lowest_usage().unwrap_or(self.usage_floor);
        let org = self
            .orgs
            .entry(request.org.clone())
            .or_insert_with(|| OrgQueue::new(lowest));
        if org.is_idle() {
            org.usage = org.usage.max(lowest);
        }
        org.weight = f64::from(request.weight.max(1));
        org.waiting.insert((request.deadline, request.id), request);
        self.len += 1;
    }

    /// Removes and returns the request to dispatch next among those that `fits` accepts.
    pub(super) fn dequeue(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let (id, key) = self.choose(now, fits)?;
        let cost = self.cost();
        let org = self.orgs.get_mut(&id)?;
        self.usage_floor = self.usage_floor.max(org.projected_usage(cost));
        org.running += 1;
        org.usage += MIN_COST / org.weight;
        let request = org.waiting.remove(&key)?;
        self.len -= 1;
        self.waiting_since = (self.len > 0).then_some(now);
        self.dispatches.add(now, 1.0);
        Some(request)
    }

    fn choose(
        &self,
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<(OrgId, QueueKey)> {
        let cost = self.cost();
        let mut orgs: Vec<_> = self
            .orgs
            .iter()
            .filter(|(_, o)| !o.waiting.is_empty())
            .collect();
        orgs.sort_by(|(_, a), (_, b)| a.projected_usage(cost).total_cmp(&b.projected_usage(cost)));
        for (id, org) in orgs {
            let runnable = |r: &QueuedRequest| r.resumed || r.deadline > now;
            let mut queued = org.waiting.iter();
            if let Some((key, _)) = queued.find(|(_, r)| runnable(r) && fits(r)) {
                return Some((id.clone(), *key));
            }
        }
        None
    }

    /// Earliest deadline in the class, minus the expected time to the first token.
    pub(super) fn latest_start(&self) -> Option<Instant> {
        let earliest = self.orgs.values().filter_map(|o| o.waiting.keys().next());
        earliest
            .min()
            .map(|(deadline, _)| *deadline - self.first_token_delay())
    }

    pub(super) fn cancel(&mut self, id: QueuedRequestId) -> Option<QueuedRequest> {
        for org in self.orgs.values_mut() {
            let key = org.waiting.keys().find(|k| k.1 == id).copied();
            if let Some(request) = key.and_then(|k| org.waiting.remove(&k)) {
                self.len -= 1;
                return Some(request);
            }
        }
        None
    }

    /// Removes the last request of the organisation whose projected usage, including all of its
    /// waiting requests, is highest. Resumed requests are not shed.
    pub(super) fn shed_last(&mut self) -> Option<QueuedRequest> {
        let cost = self.cost();
        let usage_with_waiting =
            |o: &OrgQueue| o.projected_usage(cost) + o.waiting.len() as f64 * cost / o.weight;
        let has_sheddable = |o: &OrgQueue| o.waiting.values().any(|r| !r.resumed);
        let orgs = self.orgs.values_mut().filter(|o| has_sheddable(o));
        let org = orgs.max_by(|a, b| usage_with_waiting(a).total_cmp(&usage_with_waiting(b)))?;
        let key = *org.waiting.iter().rfind(|(_, r)| !r.resumed)?.0;
        let request = org.waiting.remove(&key)?;
        self.len -= 1;
        Some(request)
    }

    /// Removes the requests for which `late` returns true, given the number of requests of the
    /// class ahead of each.
    pub(super) fn take_late(
        &mut self,
        mut late: impl FnMut(&QueuedRequest, f64) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut keys = Vec::new();
        for (id, org) in &self.orgs {
            for (index, (key, request)) in org.waiting.iter().enumerate() {
                if !request.resumed && late(request, self.requests_ahead(id, index)) {
                    keys.push((id.clone(), *key));
                }
            }
        }
        let mut taken = Vec::new();
        for (id, key) in keys {
            let org = self.orgs.get_mut(&id);
            taken.extend(org.and_then(|o| o.waiting.remove(&key)));
        }
        self.len -= taken.len();
        taken
    }

    /// Requests of the class ahead of a request of organisation `id` that has `own` requests of the
    /// same organisation ahead of it.
    fn requests_ahead(&self, id: &OrgId, own: usize) -> f64 {
        let cost = self.cost();
        let lowest = || self.lowest_usage().unwrap_or(self.usage_floor);
        let (usage, weight) = match self.orgs.get(id) {
            Some(org) if org.is_idle() => (org.usage.max(lowest()), org.weight),
            Some(org) => (org.projected_usage(cost), org.weight),
            None => (lowest(), 1.0),
        };
        let limit = usage + own as f64 * cost / weight;
        let others = self.orgs.iter().filter(|(o, _)| *o != id);
        own as f64
            + others
                .map(|(_, o)| o.requests_below(limit, cost))
                .sum::<f64>()
    }

    /// Requests of the class ahead of a new request of `org`.
    pub(super) fn requests_ahead_of_new(&self, org: &OrgId) -> f64 {
        let own = self.orgs.get(org).map_or(0, |o| o.waiting.len());
        self.requests_ahead(org, own)
    }

    fn lowest_usage(&self) -> Option<f64> {
        let cost = self.cost();
        let active = self.orgs.values().filter(|o| !o.waiting.is_empty());
        active
            .map(|o| o.projected_usage(cost))
            .min_by(f64::total_cmp)
    }

    pub(super) fn charge(&mut self, org: &OrgId, weight: u32, tokens: Tokens) {
        if let Some(org) = self.orgs.get_mut(org) {
            org.usage += tokens.0 as f64 / f64::from(weight.max(1));
        }
    }

    /// Counts a running request that another scheduler dispatched.
    pub(super) fn adopt(&mut self, org: &OrgId) {
        let floor = self.usage_floor;
        let org = self.orgs.entry(org.clone());
        org.or_insert_with(|| OrgQueue::new(floor)).running += 1;
    }

    pub(super) fn record_completion(&mut self, completion: &Completion) {
        if let Some(org) = self.orgs.get_mut(&completion.org) {
            org.running = org.running.saturating_sub(1);
        }
        if completion.complete {
            self.slot_time.add(completion.slot_time.as_secs_f64());
            self.request_cost.add(completion.tokens.0 as f64);
        }
    }

    pub(super) fn record_first_token(&mut self, after: Duration) {
        self.first_token.add(after.as_secs_f64());
    }

    /// Drops idle organisations that would be raised to the usage floor anyway. Cheap to call
    /// often.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let floor = self.usage_floor;
        self.orgs.retain(|_, o| !o.is_idle() || o.usage > floor);
    }

    /// Mean time for which a request of the class holds its slot, in seconds.
    pub(super) fn slot_time(&self) -> f64 {
        self.slot_time.get()
    }

    /// Mean time from dispatch to the first token.
    pub(super) fn first_token_delay(&self) -> Duration {
        Duration::from_secs_f64(self.first_token.get())
    }

    /// Slots that the class occupies at its current dispatch rate.
    pub(super) fn busy_slots(&self, now: Instant) -> f64 {
        self.dispatches.get(now) * self.slot_time()
    }

    fn cost(&self) -> f64 {
        self.request_cost.get().max(MIN_COST)
    }
}
