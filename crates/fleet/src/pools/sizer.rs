//! Sizes one pool, which serves one model or service in one availability zone.

use {
    super::{Demand, ScalingRules},
    clock::Instant,
    conf::PoolBounds,
    ports::{Endpoint, OrderAction},
    std::collections::BTreeSet,
    types::EndpointId,
};

/// Current state of a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolView<'a> {
    pub(super) pool: &'a PoolBounds,
    /// Concurrent requests per endpoint.
    pub(super) slots: u32,
    /// Live endpoints of the pool.
    pub(super) live: &'a [&'a Endpoint],
    pub(super) demand: Demand,
    /// Budget left for further endpoints.
    pub(super) budget: f64,
}

/// Number of endpoints by kind.
#[derive(Debug, Clone, Copy, Default)]
struct EndpointCounts {
    steady: u32,
    cheap: u32,
}

impl EndpointCounts {
    fn total(self) -> u32 {
        self.steady + self.cheap
    }

    fn add(&mut self, cheap: bool) {
        if cheap {
            self.cheap += 1;
        } else {
            self.steady += 1;
        }
    }
}

/// A started endpoint that is not listed yet.
#[derive(Debug, Clone, Copy)]
struct PendingStart {
    at: Instant,
    cheap: bool,
}

/// Sizes one pool.
#[derive(Debug, Clone)]
pub struct PoolSizer {
    rules: ScalingRules,
    pending: Vec<PendingStart>,
    listed: BTreeSet<EndpointId>,
    released: BTreeSet<EndpointId>,
    /// Number of endpoints after the last change; fewer than that means that some were lost.
    planned_total: u32,
    last_change: Instant,
    surplus_since: Option<Instant>,
    /// Whether a cheap endpoint was started to replace a steady one.
    swapping: bool,
    /// Earliest time of the next start of a cheap endpoint.
    next_cheap: Instant,
    /// Earliest time of the next start of any endpoint.
    next_start: Instant,
}

impl PoolSizer {
    /// A sizer that changes nothing during the first cooldown.
    pub fn new(now: Instant, rules: ScalingRules) -> Self {
        Self {
            rules,
            pending: Vec::new(),
            listed: BTreeSet::new(),
            released: BTreeSet::new(),
            planned_total: 0,
            last_change: now,
            surplus_since: None,
            swapping: false,
            next_cheap: Instant::default(),
            next_start: Instant::default(),
        }
    }

    /// Records that an endpoint was started.
    pub(super) fn record_start(&mut self, now: Instant, cheap: bool) {
        self.pending.push(PendingStart { at: now, cheap });
    }

    /// Records that no endpoint was available. A steady one replaces an unavailable cheap one at
    /// once.
    pub(super) fn record_refusal(&mut self, now: Instant, cheap: bool) {
        if cheap {
            self.next_cheap = now + self.rules.cheap_backoff;
        } else {
            self.next_start = now + self.rules.cooldown;
        }
    }

    /// Records that an endpoint was not released after all.
    pub(super) fn record_kept(&mut self, endpoint: &EndpointId) {
        self.released.remove(endpoint);
    }

    /// Cost of started endpoints that are not listed yet.
    pub(super) fn pending_cost(&self) -> f64 {
        self.pending.iter().map(|c| self.cost(c.cheap)).sum()
    }

    fn cost(&self, cheap: bool) -> f64 {
        if cheap { self.rules.cheap_price } else { 1.0 }
    }

    /// Decides which endpoints to start or release.
    pub(super) fn decide(&mut self, now: Instant, view: PoolView<'_>) -> Vec<OrderAction> {
        let current = self.count_endpoints(now, view.live);
        let desired = self.desired_total(view, self.rules.high_watermark);
        if current.total() < desired {
            self.surplus_since = None;
            self.swapping = false;
            return self.grow(now, view, current, desired);
        }
        if !self.is_cooled_down(now) {
            return Vec::new();
        }
        if self.should_swap(now, view.pool, current, desired) {
            let actions = self.grow(now, view, current, current.total() + 1);
            self.swapping = !actions.is_empty();
            return actions;
        }
        self.shrink(now, view, current, desired)
    }

    /// Counts live endpoints and pending starts. A newly listed endpoint completes a pending start.
    fn count_endpoints(&mut self, now: Instant, live: &[&Endpoint]) -> EndpointCounts {
        for endpoint in live {
            if self.listed.insert(endpoint.id.clone()) {
                let started = self.pending.iter().position(|c| c.cheap == endpoint.cheap);
                started.map(|at| self.pending.remove(at));
            }
        }
        self.listed.retain(|id| live.iter().any(|e| e.id == *id));
        self.released.retain(|id| self.listed.contains(id));
        let limit = self.rules.start_timeout;
        self.pending.retain(|c| now.since(c.at) < limit);
        let mut count = EndpointCounts::default();
        let kept = live.iter().filter(|e| !self.released.contains(&e.id));
        let kinds = kept
            .map(|e| e.cheap)
            .chain(self.pending.iter().map(|c| c.cheap));
        kinds.for_each(|cheap| count.add(cheap));
        count
    }

    /// Number of endpoints for the demand at the given utilisation of slots.
    fn desired_total(&self, view: PoolView<'_>, utilisation: f64) -> u32 {
        let PoolView { pool, demand, .. } = view;
        let needed = f64::from(demand.total()) / (f64::from(view.slots.max(1)) * utilisation);
        let extra = u32::from(demand.misses_objective());
        let desired = (needed.ceil() as u32).saturating_add(extra + pool.spare);
        desired.clamp(pool.min, pool.max)
    }

    fn is_cooled_down(&self, now: Instant) -> bool {
        now.since(self.last_change) >= self.rules.cooldown
    }

    fn desired_cheap(pool: &PoolBounds, desired: u32) -> u32 {
        (f64::from(desired) * pool.cheap) as u32
    }

    /// Whether a steady endpoint substitutes for a cheap one that may be available again.
    fn should_swap(
        &self,
        now: Instant,
        pool: &PoolBounds,
        current: EndpointCounts,
        desired: u32,
    ) -> bool {
        current.total() == desired
            && desired < pool.max
            && current.cheap < Self::desired_cheap(pool, desired)
            && now >= self.next_cheap
    }

    /// Starts endpoints up to `desired`, within the budget and the step limit.
    fn grow(
        &mut self,
        now: Instant,
        view: PoolView<'_>,
        mut current: EndpointCounts,
        desired: u32,
    ) -> Vec<OrderAction> {
        let is_replacement =
            current.total() < self.planned_total || current.total() < view.pool.min;
        if now < self.next_start || !is_replacement && !self.is_cooled_down(now) {
            return Vec::new();
        }
        let mut budget = view.budget;
        let mut actions = Vec::new();
        let desired_cheap = Self::desired_cheap(view.pool, desired);
        while current.total() < desired && actions.len() < self.rules.max_step as usize {
            let cheap = current.cheap < desired_cheap && now >= self.next_cheap;
            if self.cost(cheap) > budget {
                break;
            }
            budget -= self.cost(cheap);
            current.add(cheap);
            actions.push(OrderAction::Start {
                serves: view.pool.serves.clone(),
                cheap,
            });
        }
        if !actions.is_empty() {
            self.last_change = now;
            self.planned_total = current.total();
        }
        actions
    }

    /// Releases surplus endpoints once the surplus has lasted for the release delay.
    fn shrink(
        &mut self,
        now: Instant,
        view: PoolView<'_>,
        current: EndpointCounts,
        desired: u32,
    ) -> Vec<OrderAction> {
        let desired_steady = desired - Self::desired_cheap(view.pool, desired);
        let swapped = self.swapping && current.steady > desired_steady;
        let keep = if swapped {
            desired
        } else {
            self.desired_total(view, self.rules.low_watermark)
        };
        if current.total() <= keep {
            self.surplus_since = None;
            return Vec::new();
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.since(since) < self.rules.release_delay {
            return Vec::new();
        }
        let count = (current.total() - keep).min(self.rules.max_step) as usize;
        let surplus_cheap = current.steady <= desired_steady;
        let mut candidates: Vec<_> = view.live.iter().rev().collect();
        candidates.sort_by_key(|e| e.cheap != surplus_cheap);
        let releasable = candidates
            .into_iter()
            .filter(|e| !self.released.contains(&e.id));
        let ids: Vec<_> = releasable.take(count).map(|e| e.id.clone()).collect();
        self.released.extend(ids.iter().cloned());
        self.last_change = now;
        self.planned_total = current.total() - ids.len() as u32;
        self.surplus_since = None;
        self.swapping = false;
        let release = |endpoint| OrderAction::Release { endpoint };
        ids.into_iter().map(release).collect()
    }
}
