//! The control loop of the lease holder: settles open orders, compares demand with the endpoints,
//! and orders the difference.

use {
    super::{OrderController, controller::Interrupted, demand::DemandCache},
    conf::{Item, PoolBounds},
    fleet::{OrderOutcome, ZonePlanner, ZoneView},
    ports::{Endpoint, OrderAction, OrderId},
    std::{collections::BTreeMap, sync::Arc},
    types::{Epoch, ModelId},
};

/// State that lives as long as the lease is held with one fencing token.
struct LeaseTerm {
    epoch: Epoch,
    planner: ZonePlanner,
    demand: DemandCache,
    /// Outcomes of orders whose results are not on the log yet.
    outcomes: BTreeMap<OrderId, OrderOutcome>,
}

/// The configuration and endpoints of the zone that orders depend on.
struct ZoneState {
    pools: Vec<PoolBounds>,
    slots: BTreeMap<ModelId, u32>,
    endpoints: Vec<Endpoint>,
}

impl OrderController {
    /// Orders endpoints whenever the lease is held, until the process stops. No write is in flight
    /// when it returns.
    pub(crate) async fn run(self: Arc<Self>) {
        while !self.stop.is_set() {
            if let Some(epoch) = self.epoch() {
                let Err(Interrupted) = self.run_term(epoch).await;
            }
            self.pause(self.settings.fleet.round()).await;
        }
    }

    /// Orders endpoints until the lease is lost or the process stops.
    async fn run_term(&self, epoch: Epoch) -> Result<std::convert::Infallible, Interrupted> {
        self.take_over(epoch).await?;
        log::info!(zone:% = self.settings.zone, epoch = epoch.0; "ordering endpoints");
        let mut term = LeaseTerm {
            epoch,
            planner: ZonePlanner::new(self.clock.now(), self.settings.fleet.rules()),
            demand: DemandCache::default(),
            outcomes: BTreeMap::new(),
        };
        while !self.settle_orders(&mut term).await? {
            self.pause(self.settings.fleet.round()).await;
        }
        self.refresh_list(epoch).await?;
        loop {
            self.check_lease(epoch)?;
            if self.settle_orders(&mut term).await? {
                self.plan_orders(&mut term).await?;
            }
            self.pause(self.settings.fleet.round()).await;
        }
    }

    /// Sends every order without a result, also those of former holders; `true` when all have
    /// results now.
    async fn settle_orders(&self, term: &mut LeaseTerm) -> Result<bool, Interrupted> {
        let mut settled = true;
        for order in self.open_orders() {
            let (id, action) = (order.id, order.action.clone());
            if !term.outcomes.contains_key(&id)
                && let Some(outcome) = self.send(term.epoch, order).await?
            {
                let met = outcome == OrderOutcome::Met;
                term.planner.order_finished(self.clock.now(), &action, met);
                term.outcomes.insert(id, outcome);
            }
            let recorded = match term.outcomes.get(&id) {
                Some(outcome) => self.record_result(term.epoch, id, *outcome).await?,
                None => false,
            };
            if recorded {
                term.outcomes.remove(&id);
            }
            settled &= recorded;
        }
        Ok(settled)
    }

    /// Plans the actions for the current demand and orders them.
    async fn plan_orders(&self, term: &mut LeaseTerm) -> Result<(), Interrupted> {
        let state = self.zone_state();
        if state.pools.is_empty() {
            return Ok(());
        }
        term.demand.refresh(&self.node, &self.settings.zone).await;
        let view = ZoneView {
            pools: &state.pools,
            slots: &state.slots,
            endpoints: &state.endpoints,
            demands: &term.demand.demands(&state.pools),
        };
        let actions = term.planner.decide(self.clock.now(), view);
        let spending = term.planner.spending(&state.endpoints);
        metrics::gauge!("celerystage_fleet_spending").set(spending);
        for action in actions {
            let intended = self.record_intent(term.epoch, action.clone()).await?;
            if !intended && matches!(action, OrderAction::Release { .. }) {
                term.planner
                    .order_finished(self.clock.now(), &action, false);
            }
        }
        self.settle_orders(term).await?;
        Ok(())
    }

    fn zone_state(&self) -> ZoneState {
        let store = self.node.store();
        let config = store.config();
        let pools = config.items().filter_map(|(_, e)| match &e.item {
            Item::Pool(pool) if pool.zone == self.settings.zone => Some(pool.clone()),
            _ => None,
        });
        let slots = config.items().filter_map(|(_, e)| match &e.item {
            Item::Model(model) => Some((model.id.clone(), model.slots)),
            Item::Route(route) => Some((route.service.clone(), route.slots)),
            _ => None,
        });
        let zones = store.zones().filter(|z| z.zone == self.settings.zone);
        ZoneState {
            pools: pools.collect(),
            slots: slots.collect(),
            endpoints: zones.flat_map(|z| z.endpoints.clone()).collect(),
        }
    }
}
