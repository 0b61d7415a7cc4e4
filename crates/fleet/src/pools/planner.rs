//! Sizes all pools of one availability zone within one budget.

use {
    super::{Demand, PoolSizer, ScalingRules, sizer::PoolView},
    clock::Instant,
    conf::Pool,
    ports::{Endpoint, EndpointState, OrderAction},
    std::collections::BTreeMap,
    types::ModelId,
};

/// What is known of the zone.
#[derive(Debug, Clone, Copy)]
pub struct ZoneView<'a> {
    /// Bounds by model or service.
    pub pools: &'a [Pool],
    /// Requests that one endpoint holds at once, by model or service.
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
    since: Instant,
    sizers: BTreeMap<ModelId, PoolSizer>,
}

impl ZonePlanner {
    /// A planner for someone who took over at `now`; it changes nothing for one cool-down.
    pub fn new(now: Instant, rules: ScalingRules) -> Self {
        Self {
            rules,
            since: now,
            sizers: BTreeMap::new(),
        }
    }

    /// Decides what to order. Without word of the demand for a pool, it is left as it is.
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
            let chosen = self.sizer(&pool.serves).decide(now, pool_view);
            budget -= chosen.iter().map(|a| self.cost(a)).sum::<f64>();
            actions.extend(chosen);
        }
        actions
    }

    fn sizer(&mut self, serves: &ModelId) -> &mut PoolSizer {
        let (since, rules) = (self.since, self.rules);
        let new = || PoolSizer::new(since, rules);
        self.sizers.entry(serves.clone()).or_insert_with(new)
    }

    fn cost(&self, action: &OrderAction) -> f64 {
        match action {
            OrderAction::Start { cheap: true, .. } => self.rules.cheap_price,
            OrderAction::Start { cheap: false, .. } => 1.0,
            OrderAction::Release { .. } => 0.0,
        }
    }

    /// What the zone's listed and coming endpoints cost.
    pub fn spending(&self, endpoints: &[Endpoint]) -> f64 {
        let price = |e: &Endpoint| if e.cheap { self.rules.cheap_price } else { 1.0 };
        let listed: f64 = endpoints.iter().map(price).sum();
        let coming: f64 = self.sizers.values().map(PoolSizer::coming_cost).sum();
        listed + coming
    }

    /// Takes note of an order that was carried out, or refused.
    pub fn order_finished(&mut self, now: Instant, action: &OrderAction, met: bool) {
        match action {
            OrderAction::Start { serves, cheap } if met => self.sizer(serves).started(now, *cheap),
            OrderAction::Start { serves, cheap } => self.sizer(serves).refused(now, *cheap),
            OrderAction::Release { .. } if met => {}
            OrderAction::Release { endpoint } => {
                self.sizers.values_mut().for_each(|s| s.kept(endpoint));
            }
        }
    }
}
