//! Orders engines while the duty seat is held.

use {
    super::Node,
    crate::{
        peers::SHORTEST,
        port::{CapacityOrder, Duties, Fence},
        version::Scaling,
    },
    clock::Stamp,
    coord::DutyLease,
    fleet::{EngineCounts, ScaleOrder, ScalingBounds, ServiceSizer, ServiceView},
    ports::PlatformError,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::ServiceId,
};

/// Time between two decisions.
const EVERY: Duration = Duration::from_millis(500);
/// Status of an order for engines of which none can be had.
const NONE_LEFT: u16 = 409;

/// Sizes the services that may be sized.
pub(super) struct Capacity {
    node: Arc<Node>,
    duties: Arc<dyn Duties>,
    sizers: BTreeMap<ServiceId, ServiceSizer>,
    decided: Stamp,
    /// Orders that wait to be sent.
    open: Vec<CapacityOrder>,
}

impl Capacity {
    pub(super) fn new(node: Arc<Node>, duties: Arc<dyn Duties>) -> Self {
        Self {
            decided: node.clock.now(),
            node,
            duties,
            sizers: BTreeMap::new(),
            open: Vec::new(),
        }
    }

    /// Forgets what was decided, when the seat changes hands.
    pub(super) fn reset(&mut self, now: Stamp) {
        self.sizers.clear();
        self.open.clear();
        self.decided = now;
    }

    /// Decides and sends orders while `seat` is held.
    pub(super) async fn work(&mut self, seat: &DutyLease) {
        let now = self.node.clock.now();
        if now.since(self.decided) >= EVERY {
            self.decided = now;
            self.decide(now);
        }
        while let Some(order) = self.open.pop() {
            let Some(epoch) = seat.epoch(self.node.clock.now()) else {
                return;
            };
            self.send(Fence { epoch }, order).await;
        }
    }

    fn decide(&mut self, now: Stamp) {
        let Some(catalog) = self.node.catalog() else {
            return;
        };
        self.open.clear();
        for (id, service) in &catalog.doc.services {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let view = self.view(now, id, scaling);
            let sizer = self
                .sizers
                .entry(id.clone())
                .or_insert_with(|| ServiceSizer::new(now));
            let orders = sizer.decide(now, &view);
            for order in orders {
                log::info!(
                    service:% = id, zone:% = order.zone, cheap = order.cheap, count = order.count,
                    work = view.offered_load;
                    "engines wanted"
                );
                self.open.push(CapacityOrder {
                    service: id.clone(),
                    zone: order.zone,
                    cheap: order.cheap,
                    count: order.count,
                });
            }
        }
    }

    fn view(&self, now: Stamp, id: &ServiceId, scaling: &Scaling) -> ServiceView {
        let registry = self.node.registry.lock();
        let zones = scaling.zone_prices.keys().map(|zone| {
            let live = || {
                let own = registry
                    .all()
                    .filter(|e| e.service == *id && e.zone == *zone);
                own.filter(|e| !e.leaving)
            };
            let cheap = live().filter(|e| e.cheap).count() as u32;
            EngineCounts {
                zone: zone.clone(),
                steady: live().count() as u32 - cheap,
                cheap,
            }
        });
        let zones = zones.collect();
        let news_every = self.node.peers.lock().pause(now).saturating_sub(SHORTEST);
        let mut placers = self.node.placers.lock();
        ServiceView {
            bounds: ScalingBounds {
                min: scaling.min,
                max: scaling.max,
                cheap: scaling.cheap_price.is_some(),
            },
            zones,
            offered_load: placers.get_mut(id).map_or(0.0, |p| p.offered_load(now)),
            gossip_delay: news_every,
        }
    }

    async fn send(&mut self, fence: Fence, order: CapacityOrder) {
        let sent = self.duties.order_capacity(fence, &order).await;
        let now = self.node.clock.now();
        let Err(e) = sent else {
            return;
        };
        log::warn!(zone:% = order.zone, cheap = order.cheap, count = order.count, error:% = e; "order failed");
        let Some(sizer) = self.sizers.get_mut(&order.service) else {
            return;
        };
        if e == PlatformError::Refused(NONE_LEFT) {
            sizer.cheap_unavailable(now, &order.zone);
        }
        sizer.order_failed(&ScaleOrder {
            zone: order.zone,
            cheap: order.cheap,
            count: order.count,
        });
    }
}
