//! Waiting requests of one class, shared fairly between organisations.

use {
    super::org::{OrgLine, Place},
    crate::{
        ClassRule, Completion, QueuedRequest, QueuedRequestId,
        average::{Mean, Rate},
    },
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::{OrgId, Tokens},
};

/// Least expected cost of a request, in tokens.
const MIN_COST: f64 = 1.0;
/// Time between sweeps.
const SWEEP: Duration = Duration::from_secs(10);

/// One class with its organisations and its measured rates.
#[derive(Debug)]
pub(super) struct ClassLine {
    pub(super) rule: ClassRule,
    pub(super) len: usize,
    orgs: BTreeMap<OrgId, OrgLine>,
    /// Claim of the organisation dispatched last. Organisations that return from idle start here.
    floor: f64,
    /// First arrival since the last dispatch.
    unserved: Option<Instant>,
    last_arrival: Instant,
    swept: Instant,
    hold: Mean,
    first: Mean,
    cost: Mean,
    dispatches: Rate,
}

impl ClassLine {
    pub(super) fn new(rule: ClassRule) -> Self {
        Self {
            rule,
            len: 0,
            orgs: BTreeMap::new(),
            floor: 0.0,
            unserved: None,
            last_arrival: Instant::default(),
            swept: Instant::default(),
            hold: Mean::default(),
            first: Mean::default(),
            cost: Mean::default(),
            dispatches: Rate::default(),
        }
    }

    /// Counts an arrival, whether or not it is refused.
    pub(super) fn arrived(&mut self, now: Instant) {
        if self.len == 0 && now.since(self.last_arrival) > self.rule.starvation_limit {
            self.unserved = None;
        }
        self.unserved.get_or_insert(now);
        self.last_arrival = now;
    }

    /// When the class has to be dispatched next: half of its bound after its first unserved arrival.
    pub(super) fn due(&self) -> Option<Instant> {
        self.unserved.map(|s| s + self.rule.starvation_limit / 2)
    }

    /// Whether the class has to be dispatched by now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.due().is_some_and(|due| due <= now)
    }

    pub(super) fn push(&mut self, ticket: QueuedRequest) {
        let lowest = self.lowest_claim().unwrap_or(self.floor);
        let org = self
            .orgs
            .entry(ticket.org.clone())
            .or_insert_with(|| OrgLine::new(lowest));
        if org.is_idle() {
            org.used = org.used.max(lowest);
        }
        org.weight = f64::from(ticket.weight.max(1));
        org.waiting.insert((ticket.deadline, ticket.id), ticket);
        self.len += 1;
    }

    /// Takes the request to dispatch next among those that `fits` accepts.
    pub(super) fn take(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let (id, place) = self.choose(now, fits)?;
        let cost = self.cost();
        let org = self.orgs.get_mut(&id)?;
        self.floor = self.floor.max(org.claim(cost));
        org.running += 1;
        org.used += MIN_COST / org.weight;
        let ticket = org.waiting.remove(&place)?;
        self.len -= 1;
        self.unserved = (self.len > 0).then_some(now);
        self.dispatches.add(now, 1.0);
        Some(ticket)
    }

    fn choose(
        &self,
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<(OrgId, Place)> {
        let cost = self.cost();
        let mut orgs: Vec<_> = self
            .orgs
            .iter()
            .filter(|(_, o)| !o.waiting.is_empty())
            .collect();
        orgs.sort_by(|(_, a), (_, b)| a.claim(cost).total_cmp(&b.claim(cost)));
        for (id, org) in orgs {
            let runnable = |t: &QueuedRequest| t.resumed || t.deadline > now;
            let mut line = org.waiting.iter();
            if let Some((place, _)) = line.find(|(_, t)| runnable(t) && fits(t)) {
                return Some((id.clone(), *place));
            }
        }
        None
    }

    /// Earliest deadline in the class, less the expected time to the first token.
    pub(super) fn latest_start(&self) -> Option<Instant> {
        let firsts = self.orgs.values().filter_map(|o| o.waiting.keys().next());
        firsts.min().map(|(deadline, _)| *deadline - self.first())
    }

    pub(super) fn cancel(&mut self, id: QueuedRequestId) -> Option<QueuedRequest> {
        for org in self.orgs.values_mut() {
            let place = org.waiting.keys().find(|p| p.1 == id).copied();
            if let Some(ticket) = place.and_then(|p| org.waiting.remove(&p)) {
                self.len -= 1;
                return Some(ticket);
            }
        }
        None
    }

    /// Takes the last request of the organisation with the highest claim, counting its line.
    pub(super) fn shed(&mut self) -> Option<QueuedRequest> {
        let cost = self.cost();
        let last = |o: &OrgLine| o.claim(cost) + o.waiting.len() as f64 * cost / o.weight;
        let fresh = |o: &OrgLine| o.waiting.values().any(|t| !t.resumed);
        let orgs = self.orgs.values_mut().filter(|o| fresh(o));
        let org = orgs.max_by(|a, b| last(a).total_cmp(&last(b)))?;
        let place = *org.waiting.iter().rfind(|(_, t)| !t.resumed)?.0;
        let ticket = org.waiting.remove(&place)?;
        self.len -= 1;
        Some(ticket)
    }

    /// Takes requests that `late` tells to be too late, given how many of the class go before each.
    pub(super) fn take_late(
        &mut self,
        mut late: impl FnMut(&QueuedRequest, f64) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut places = Vec::new();
        for (id, org) in &self.orgs {
            for (index, (place, ticket)) in org.waiting.iter().enumerate() {
                if !ticket.resumed && late(ticket, self.ahead(id, index)) {
                    places.push((id.clone(), *place));
                }
            }
        }
        let mut taken = Vec::new();
        for (id, place) in places {
            let org = self.orgs.get_mut(&id);
            taken.extend(org.and_then(|o| o.waiting.remove(&place)));
        }
        self.len -= taken.len();
        taken
    }

    /// Requests of the class that go before the request of `org` with `own` requests of its own
    /// before it.
    fn ahead(&self, id: &OrgId, own: usize) -> f64 {
        let cost = self.cost();
        let lowest = || self.lowest_claim().unwrap_or(self.floor);
        let (claim, weight) = match self.orgs.get(id) {
            Some(org) if org.is_idle() => (org.used.max(lowest()), org.weight),
            Some(org) => (org.claim(cost), org.weight),
            None => (lowest(), 1.0),
        };
        let limit = claim + own as f64 * cost / weight;
        let others = self.orgs.iter().filter(|(o, _)| *o != id);
        own as f64 + others.map(|(_, o)| o.ahead_of(limit, cost)).sum::<f64>()
    }

    /// Requests of the class that would go before a new request of `org`.
    pub(super) fn ahead_of_new(&self, org: &OrgId) -> f64 {
        let own = self.orgs.get(org).map_or(0, |o| o.waiting.len());
        self.ahead(org, own)
    }

    fn lowest_claim(&self) -> Option<f64> {
        let cost = self.cost();
        let active = self.orgs.values().filter(|o| !o.waiting.is_empty());
        active.map(|o| o.claim(cost)).min_by(f64::total_cmp)
    }

    pub(super) fn charge(&mut self, org: &OrgId, weight: u32, tokens: Tokens) {
        if let Some(org) = self.orgs.get_mut(org) {
            org.used += tokens.0 as f64 / f64::from(weight.max(1));
        }
    }

    /// Counts a request that another scheduler dispatched.
    pub(super) fn adopted(&mut self, org: &OrgId) {
        let floor = self.floor;
        let org = self.orgs.entry(org.clone());
        org.or_insert_with(|| OrgLine::new(floor)).running += 1;
    }

    pub(super) fn completed(&mut self, done: &Completion) {
        if let Some(org) = self.orgs.get_mut(&done.org) {
            org.running = org.running.saturating_sub(1);
        }
        if done.complete {
            self.hold.add(done.slot_time.as_secs_f64());
            self.cost.add(done.tokens.0 as f64);
        }
    }

    pub(super) fn first_token(&mut self, after: Duration) {
        self.first.add(after.as_secs_f64());
    }

    /// Forgets idle organisations that would be lifted to the floor anyway; cheap to call often.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now.since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        let floor = self.floor;
        self.orgs.retain(|_, o| !o.is_idle() || o.used > floor);
    }

    /// Mean time that a request of the class holds its slot, in seconds.
    pub(super) fn hold(&self) -> f64 {
        self.hold.get()
    }

    /// Mean time from dispatch to the first token.
    pub(super) fn first(&self) -> Duration {
        Duration::from_secs_f64(self.first.get())
    }

    /// Slots that the class keeps busy at its present rate of dispatch.
    pub(super) fn busy(&self, now: Instant) -> f64 {
        self.dispatches.get(now) * self.hold()
    }

    fn cost(&self) -> f64 {
        self.cost.get().max(MIN_COST)
    }
}
