//! Sizes one pool: one model or service in one availability zone.

use {
    super::{Demand, ScalingRules},
    clock::Instant,
    conf::Pool,
    ports::{Endpoint, OrderAction},
    std::collections::BTreeSet,
    types::EndpointId,
};

/// What is needed to size a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolView<'a> {
    pub(super) pool: &'a Pool,
    /// Requests that one endpoint holds at once.
    pub(super) slots: u32,
    /// Live endpoints of the pool.
    pub(super) live: &'a [&'a Endpoint],
    pub(super) demand: Demand,
    /// What further endpoints may cost.
    pub(super) budget: f64,
}

/// Endpoints by kind.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    steady: u32,
    cheap: u32,
}

impl Count {
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

/// A started endpoint that is not on the list yet.
#[derive(Debug, Clone, Copy)]
struct Coming {
    at: Instant,
    cheap: bool,
}

/// Sizes one pool.
#[derive(Debug, Clone)]
pub struct PoolSizer {
    rules: ScalingRules,
    coming: Vec<Coming>,
    listed: BTreeSet<EndpointId>,
    released: BTreeSet<EndpointId>,
    /// Number of endpoints after the last change.
    aim: u32,
    changed: Instant,
    low_since: Option<Instant>,
    /// Whether a cheap endpoint was started to take a steady one's place.
    swaps: bool,
    cheap_after: Instant,
    start_after: Instant,
}

impl PoolSizer {
    /// A sizer that changes nothing for one cool-down.
    pub fn new(now: Instant, rules: ScalingRules) -> Self {
        Self {
            rules,
            coming: Vec::new(),
            listed: BTreeSet::new(),
            released: BTreeSet::new(),
            aim: 0,
            changed: now,
            low_since: None,
            swaps: false,
            cheap_after: Instant::default(),
            start_after: Instant::default(),
        }
    }

    /// Takes note of an endpoint that was started.
    pub(super) fn started(&mut self, now: Instant, cheap: bool) {
        self.coming.push(Coming { at: now, cheap });
    }

    /// Takes note that no endpoint could be had. A steady one takes the place of a cheap one at once.
    pub(super) fn refused(&mut self, now: Instant, cheap: bool) {
        if cheap {
            self.cheap_after = now + self.rules.cheap_backoff;
        } else {
            self.start_after = now + self.rules.cooldown;
        }
    }

    /// Takes note that an endpoint was not released.
    pub(super) fn kept(&mut self, endpoint: &EndpointId) {
        self.released.remove(endpoint);
    }

    /// What started endpoints that are not listed yet cost.
    pub(super) fn coming_cost(&self) -> f64 {
        self.coming.iter().map(|c| self.cost(c.cheap)).sum()
    }

    fn cost(&self, cheap: bool) -> f64 {
        if cheap { self.rules.cheap_price } else { 1.0 }
    }

    /// Decides what to start or release.
    pub(super) fn decide(&mut self, now: Instant, view: PoolView<'_>) -> Vec<OrderAction> {
        let have = self.count(now, view.live);
        let want = self.want(view, self.rules.high_watermark);
        if have.total() < want {
            self.low_since = None;
            self.swaps = false;
            return self.grow(now, view, have, want);
        }
        if !self.is_cool(now) {
            return Vec::new();
        }
        if self.swap_wanted(now, view.pool, have, want) {
            let actions = self.grow(now, view, have, have.total() + 1);
            self.swaps = !actions.is_empty();
            return actions;
        }
        self.shrink(now, view, have, want)
    }

    /// Counts live and coming endpoints; a newly listed one is no longer coming.
    fn count(&mut self, now: Instant, live: &[&Endpoint]) -> Count {
        for endpoint in live {
            if self.listed.insert(endpoint.id.clone()) {
                let came = self.coming.iter().position(|c| c.cheap == endpoint.cheap);
                came.map(|at| self.coming.remove(at));
            }
        }
        self.listed.retain(|id| live.iter().any(|e| e.id == *id));
        self.released.retain(|id| self.listed.contains(id));
        let limit = self.rules.start_timeout;
        self.coming.retain(|c| now.since(c.at) < limit);
        let mut count = Count::default();
        let kept = live.iter().filter(|e| !self.released.contains(&e.id));
        let kinds = kept
            .map(|e| e.cheap)
            .chain(self.coming.iter().map(|c| c.cheap));
        kinds.for_each(|cheap| count.add(cheap));
        count
    }

    /// Endpoints that keep the share of slots in use at `fill`.
    fn want(&self, view: PoolView<'_>, fill: f64) -> u32 {
        let PoolView { pool, demand, .. } = view;
        let needed = f64::from(demand.total()) / (f64::from(view.slots.max(1)) * fill);
        let missed = u32::from(demand.misses_objective());
        let want = (needed.ceil() as u32).saturating_add(missed + pool.spare);
        want.clamp(pool.min, pool.max)
    }

    fn is_cool(&self, now: Instant) -> bool {
        now.since(self.changed) >= self.rules.cooldown
    }

    fn cheap_wanted(pool: &Pool, want: u32) -> u32 {
        (f64::from(want) * pool.cheap) as u32
    }

    /// Whether a steady endpoint stands in for a cheap one that can be had again.
    fn swap_wanted(&self, now: Instant, pool: &Pool, have: Count, want: u32) -> bool {
        have.total() == want
            && want < pool.max
            && have.cheap < Self::cheap_wanted(pool, want)
            && now >= self.cheap_after
    }

    fn grow(
        &mut self,
        now: Instant,
        view: PoolView<'_>,
        mut have: Count,
        want: u32,
    ) -> Vec<OrderAction> {
        let replaces = have.total() < self.aim || have.total() < view.pool.min;
        if now < self.start_after || !replaces && !self.is_cool(now) {
            return Vec::new();
        }
        let mut budget = view.budget;
        let mut actions = Vec::new();
        let cheap_want = Self::cheap_wanted(view.pool, want);
        while have.total() < want && actions.len() < self.rules.max_step as usize {
            let cheap = have.cheap < cheap_want && now >= self.cheap_after;
            if self.cost(cheap) > budget {
                break;
            }
            budget -= self.cost(cheap);
            have.add(cheap);
            actions.push(OrderAction::Start {
                serves: view.pool.serves.clone(),
                cheap,
            });
        }
        if !actions.is_empty() {
            self.changed = now;
            self.aim = have.total();
        }
        actions
    }

    fn shrink(
        &mut self,
        now: Instant,
        view: PoolView<'_>,
        have: Count,
        want: u32,
    ) -> Vec<OrderAction> {
        let steady_want = want - Self::cheap_wanted(view.pool, want);
        let swapped = self.swaps && have.steady > steady_want;
        let keep = if swapped {
            want
        } else {
            self.want(view, self.rules.low_watermark)
        };
        if have.total() <= keep {
            self.low_since = None;
            return Vec::new();
        }
        let since = *self.low_since.get_or_insert(now);
        if now.since(since) < self.rules.release_delay {
            return Vec::new();
        }
        let count = (have.total() - keep).min(self.rules.max_step) as usize;
        let surplus_cheap = have.steady <= steady_want;
        let mut order: Vec<_> = view.live.iter().rev().collect();
        order.sort_by_key(|e| e.cheap != surplus_cheap);
        let free = order.into_iter().filter(|e| !self.released.contains(&e.id));
        let ids: Vec<_> = free.take(count).map(|e| e.id.clone()).collect();
        self.released.extend(ids.iter().cloned());
        self.changed = now;
        self.aim = have.total() - ids.len() as u32;
        self.low_since = None;
        self.swaps = false;
        let release = |endpoint| OrderAction::Release { endpoint };
        ids.into_iter().map(release).collect()
    }
}
