//! Orders endpoints while this VM holds the duties.

use {
    super::Node,
    crate::{
        adapter::{CapacityOrder, DutyApi},
        configuration::Scaling,
        peers::MIN_SEND_INTERVAL,
    },
    clock::Instant,
    coord::{DutyLease, DutyPermit},
    fleet::{EngineCounts, ScaleOrder, ScalingBounds, ServiceSizer, ServiceView},
    ports::PlatformError,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::ServiceId,
};

/// Interval between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);
/// Status of an order that fails for lack of capacity.
const NO_CAPACITY_STATUS: u16 = 409;

/// Scales the services that have scaling bounds.
pub(super) struct CapacityPlanner {
    node: Arc<Node>,
    duty_api: Arc<dyn DutyApi>,
    sizers: BTreeMap<ServiceId, ServiceSizer>,
    last_decision: Instant,
    /// Orders of the last decision that are not sent yet.
    pending: Vec<CapacityOrder>,
}

impl CapacityPlanner {
    pub(super) fn new(node: Arc<Node>, duty_api: Arc<dyn DutyApi>) -> Self {
        Self {
            last_decision: node.clock.now(),
            node,
            duty_api,
            sizers: BTreeMap::new(),
            pending: Vec::new(),
        }
    }

    /// Discards earlier decisions; for a change of the duty holder.
    pub(super) fn reset(&mut self, now: Instant) {
        self.sizers.clear();
        self.pending.clear();
        self.last_decision = now;
    }

    /// Makes a decision if one is due, and sends the pending orders as long as `lease` is held.
    pub(super) async fn run(&mut self, lease: &DutyLease) {
        let now = self.node.clock.now();
        if now.since(self.last_decision) >= DECISION_INTERVAL {
            self.last_decision = now;
            self.decide(now);
        }
        while let Some(order) = self.pending.pop() {
            let now = self.node.clock.now();
            let Some(permit) = lease.permit(now) else {
                return;
            };
            let left = permit.until.since(now);
            log::info!(
                service:% = order.service, zone:% = order.zone, cheap = order.cheap, count = order.count,
                epoch = permit.epoch.0, left_ms = left.as_millis() as u64;
                "capacity order sent"
            );
            self.send_order(permit, order).await;
        }
    }

    fn decide(&mut self, now: Instant) {
        let Some(config) = self.node.config() else {
            return;
        };
        self.pending.clear();
        for (id, service) in &config.doc.services {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let service_view = self.service_view(now, id, scaling);
            let sizer = self
                .sizers
                .entry(id.clone())
                .or_insert_with(|| ServiceSizer::new(now));
            let orders = sizer.decide(now, &service_view);
            for order in orders {
                log::info!(
                    service:% = id, zone:% = order.zone, cheap = order.cheap, count = order.count,
                    work = service_view.offered_load, slots = service_view.slot_load;
                    "scaling decided"
                );
                self.pending.push(CapacityOrder {
                    service: id.clone(),
                    zone: order.zone,
                    cheap: order.cheap,
                    count: order.count,
                });
            }
        }
    }

    fn service_view(&self, now: Instant, id: &ServiceId, scaling: &Scaling) -> ServiceView {
        let registry = self.node.registry.lock();
        let evacuated = self.node.evacuated_zones();
        let zones = scaling.zone_prices.keys().map(|zone| {
            let live = || {
                let in_zone = registry
                    .endpoints()
                    .filter(|e| e.service == *id && e.zone == *zone);
                in_zone.filter(|e| !e.leaving)
            };
            let cheap = live().filter(|e| e.cheap).count() as u32;
            EngineCounts {
                zone: zone.clone(),
                steady: live().count() as u32 - cheap,
                cheap,
                evacuated: evacuated.contains(zone),
            }
        });
        let zones = zones.collect();
        let load_age = self.node.peers.lock().load_age(now);
        let gossip_delay = load_age.saturating_sub(MIN_SEND_INTERVAL / 2);
        let mut placers = self.node.placers.lock();
        ServiceView {
            bounds: ScalingBounds {
                min: scaling.min,
                max: scaling.max,
                cheap: scaling.cheap_price.is_some(),
            },
            zones,
            offered_load: placers.get_mut(id).map_or(0.0, |p| p.offered_load(now)),
            slot_load: placers.get_mut(id).map_or(0.0, |p| p.slot_load(now)),
            gossip_delay,
        }
    }

    async fn send_order(&mut self, permit: DutyPermit, order: CapacityOrder) {
        let sent = self.duty_api.order_capacity(permit, &order).await;
        let now = self.node.clock.now();
        let Err(e) = sent else {
            return;
        };
        log::warn!(zone:% = order.zone, cheap = order.cheap, count = order.count, error:% = e; "capacity order failed");
        let Some(sizer) = self.sizers.get_mut(&order.service) else {
            return;
        };
        if e == PlatformError::Refused(NO_CAPACITY_STATUS) {
            sizer.cheap_unavailable(now, &order.zone);
        }
        sizer.order_failed(&ScaleOrder {
            zone: order.zone,
            cheap: order.cheap,
            count: order.count,
        });
    }
}
