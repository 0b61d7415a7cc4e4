//! What the holder of the zone's lease does.

use {
    super::{Orders, demand::DemandBook, desk::Ended},
    conf::{Item, Pool},
    fleet::{OrderOutcome, ZonePlanner, ZoneView},
    ports::{Endpoint, OrderAction, OrderId},
    std::{collections::BTreeMap, sync::Arc},
    types::{Epoch, ModelId},
};

/// What lives as long as a lease is held.
struct Reign {
    epoch: Epoch,
    planner: ZonePlanner,
    demand: DemandBook,
    /// Outcomes that are not in the log yet.
    outcomes: BTreeMap<OrderId, OrderOutcome>,
}

/// The part of the shared state that orders depend on.
struct ZoneState {
    pools: Vec<Pool>,
    slots: BTreeMap<ModelId, u32>,
    endpoints: Vec<Endpoint>,
}

impl Orders {
    /// Orders endpoints whenever the lease is held, until the process stops. When it returns, no write
    /// is on its way.
    pub(crate) async fn govern(self: Arc<Self>) {
        while !self.stop.is_set() {
            if let Some(epoch) = self.epoch() {
                let Err(Ended) = self.serve(epoch).await;
            }
            self.pause(self.settings.fleet.round()).await;
        }
    }

    async fn serve(&self, epoch: Epoch) -> Result<std::convert::Infallible, Ended> {
        self.take_over(epoch).await?;
        log::info!(zone:% = self.settings.zone, epoch = epoch.0; "ordering endpoints");
        let mut reign = Reign {
            epoch,
            planner: ZonePlanner::new(self.clock.now(), self.settings.fleet.rules()),
            demand: DemandBook::default(),
            outcomes: BTreeMap::new(),
        };
        while !self.settle(&mut reign).await? {
            self.pause(self.settings.fleet.round()).await;
        }
        self.refresh_list(epoch).await?;
        loop {
            self.guard(epoch)?;
            if self.settle(&mut reign).await? {
                self.plan(&mut reign).await?;
            }
            self.pause(self.settings.fleet.round()).await;
        }
    }

    /// Sends every order without a result, those of former holders too; `true` when none is left.
    async fn settle(&self, reign: &mut Reign) -> Result<bool, Ended> {
        let mut settled = true;
        for order in self.open() {
            let (id, action) = (order.id, order.action.clone());
            if !reign.outcomes.contains_key(&id)
                && let Some(outcome) = self.send(reign.epoch, order).await?
            {
                let met = outcome == OrderOutcome::Met;
                reign.planner.order_finished(self.clock.now(), &action, met);
                reign.outcomes.insert(id, outcome);
            }
            let concluded = match reign.outcomes.get(&id) {
                Some(outcome) => self.conclude(reign.epoch, id, *outcome).await?,
                None => false,
            };
            if concluded {
                reign.outcomes.remove(&id);
            }
            settled &= concluded;
        }
        Ok(settled)
    }

    async fn plan(&self, reign: &mut Reign) -> Result<(), Ended> {
        let state = self.zone_state();
        if state.pools.is_empty() {
            return Ok(());
        }
        reign.demand.refresh(&self.node, &self.settings.zone).await;
        let view = ZoneView {
            pools: &state.pools,
            slots: &state.slots,
            endpoints: &state.endpoints,
            demands: &reign.demand.demands(&state.pools),
        };
        let actions = reign.planner.decide(self.clock.now(), view);
        let spending = reign.planner.spending(&state.endpoints);
        metrics::gauge!("celerystage_fleet_spending").set(spending);
        for action in actions {
            let intended = self.intend(reign.epoch, action.clone()).await?;
            if !intended && matches!(action, OrderAction::Release { .. }) {
                reign
                    .planner
                    .order_finished(self.clock.now(), &action, false);
            }
        }
        self.settle(reign).await?;
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
