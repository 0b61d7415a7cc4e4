//! Sizes all pools of one availability zone within a common budget.

use {
    super::{Demand, PoolSizer, ScalingRules, sizer::PoolView},
    clock::Instant,
    conf::PoolBounds,
    ports::{Endpoint, EndpointState, OrderAction},
    std::collections::BTreeMap,
    types::ModelId,
};

/// Current state of a zone.
#[derive(Debug, Clone, Copy)]
pub struct ZoneView<'a> {
    /// Configured pools, one per model or service.
    pub pools: &'a [PoolBounds],
    /// Concurrent requests per endpoint, by model or service.
    pub slots: &'a BTreeMap<ModelId, u32>,
    /// Listed endpoints of the zone.
    pub endpoints: &'a [Endpoint],
    /// Demand by model or service.
    pub demands: &'a BTreeMap<ModelId, Demand>,
}

/// Plans the orders of one availability zone.
#[derive(Debug, Clone)]
pub struct ZonePlanner {
    rules: ScalingRules,
    taken_over: Instant,
    sizers: BTreeMap<ModelId, PoolSizer>,
}

impl ZonePlanner {
    /// A planner for a lease holder that took over at `now`. It changes nothing during the first
    /// cooldown.
    pub fn new(now: Instant, rules: ScalingRules) -> Self {
        Self {
            rules,
            taken_over: now,
            sizers: BTreeMap::new(),
        }
    }

    /// Decides what to order. A pool whose demand is unknown is left unchanged.
    pub fn decide(&mut self, now: Instant, view: ZoneView<'_>) -> Vec<OrderAction> {
        let mut budget = self.rules.budget - self.spending(view.endpoints);
        let mut actions = Vec::new();
        for pool in view.pools {
            let Some(demand) = view.demands.get(&pool.serves) else {
                continue;
            };
            let live: Vec<_> = view
                .endpoints
                .iter()
                .filter(|e| e.serves == pool.serves && e.state == EndpointState::Live)
                .collect();
            let pool_view = PoolView {
                pool,
                slots: view.slots.get(&pool.serves).copied().unwrap_or(1),
                live: &live,
                demand: *demand,
                budget,
            };
            let pool_actions = self.sizer(&pool.serves).decide(now, pool_view);
            budget -= pool_actions.iter().map(|a| self.cost(a)).sum::<f64>();
            actions.extend(pool_actions);
        }
        actions
    }

    fn sizer(&mut self, serves: &ModelId) -> &mut PoolSizer {
        let (taken_over, rules) = (self.taken_over, self.rules);
        let new = || PoolSizer::new(taken_over, rules);
        self.sizers.entry(serves.clone()).or_insert_with(new)
    }

    fn cost(&self, action: &OrderAction) -> f64 {
        match action {
            OrderAction::Start { cheap: true, .. } => self.rules.cheap_price,
            OrderAction::Start { cheap: false, .. } => 1.0,
            OrderAction::Release { .. } => 0.0,
        }
    }

    /// Total cost of the zone's listed endpoints and pending starts.
    pub fn spending(&self, endpoints: &[Endpoint]) -> f64 {
        let price = |e: &Endpoint| if e.cheap { self.rules.cheap_price } else { 1.0 };
        let listed: f64 = endpoints.iter().map(price).sum();
        let pending: f64 = self.sizers.values().map(PoolSizer::pending_cost).sum();
        listed + pending
    }

    /// Records that an order was carried out or refused.
    pub fn order_finished(&mut self, now: Instant, action: &OrderAction, succeeded: bool) {
        match action {
            OrderAction::Start { serves, cheap } if succeeded => {
                self.sizer(serves).record_start(now, *cheap);
            }
            OrderAction::Start { serves, cheap } => self.sizer(serves).record_refusal(now, *cheap),
            OrderAction::Release { .. } if succeeded => {}
            OrderAction::Release { endpoint } => {
                self.sizers
                    .values_mut()
                    .for_each(|s| s.record_kept(endpoint));
            }
        }
    }
}
