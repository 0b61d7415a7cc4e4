//! Sizes the engines of one service over all zones.

use {
    super::{EngineCounts, ScaleOrder, ServiceView, evacuated::Evacuation},
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::ZoneId,
};

/// Target share of an engine's time spent on prefill. Above it, bursts push first tokens and pauses
/// beyond their targets.
const TARGET_UTILISATION: f64 = 0.21;
/// Target share of the slots that are taken, where slots are scarce. The rest absorbs bursts until new engines
/// have started.
const SLOT_UTILISATION: f64 = 0.65;
/// Weight of a new sample in the smoothed load, when it rises and when it falls. Samples are taken
/// about twice a second.
const RISE_WEIGHT: f64 = 0.6;
const FALL_WEIGHT: f64 = 0.01;
/// Time after taking over in which nothing is ordered, because engines write their registry entries
/// only every second or so.
const OBSERVATION_TIME: Duration = Duration::from_millis(3_500);
/// Minimum number of steady engines per zone. They serve what must not be lost when cheap engines
/// are reclaimed.
const MIN_STEADY: u32 = 1;
/// Minimum number of engines per zone, also while no load is known.
const MIN_ENGINES: u32 = 3;
/// Engines planned after taking over, relative to the present ones. The required number is not
/// known yet, and new engines start with empty caches.
const TAKEOVER_FACTOR: f64 = 1.5;
/// Increase of that factor per second of age of the load reports that VMs place by. The older they
/// are, the higher the load peaks at single engines, which last while the caches fill.
const TAKEOVER_FACTOR_PER_S: f64 = 0.85;
/// Time for which enough engines must have been present before steady ones are released.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time before cheap engines are ordered again in a zone that had none available.
const CHEAP_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time within which ordered engines are expected to be in service.
const START_TIME: Duration = Duration::from_millis(6_500);

/// Longest time after taking over in which steady engines are kept because no load is known.
const MAX_LOAD_WAIT: Duration = Duration::from_secs(30);
/// Time for which a load must have been known before steady engines are released: the caches of the
/// engines are empty at its start.
const LOAD_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Share of a zone's planned engines by which it may fall short while steady engines make room for
/// cheap ones.
const EXCHANGE_SHARE: u32 = 5;

#[derive(Debug, Clone, Copy)]
pub(super) struct LastOrder {
    count: u32,
    at: Instant,
    /// Most engines that were present since then.
    peak: u32,
}

impl LastOrder {
    fn new(count: u32, at: Instant, present: u32) -> Self {
        Self {
            count,
            at,
            peak: present,
        }
    }

    /// Whether engines that were present since the order are gone, with `present` left.
    fn has_lost(&mut self, present: u32) -> bool {
        self.peak = self.peak.max(present);
        present < self.peak
    }
}

#[derive(Debug, Clone, Default)]
pub(super) struct ZoneState {
    /// Since when enough engines have been present.
    satisfied_since: Option<Instant>,
    cheap_unavailable: Option<Instant>,
    pub(super) steady_order: Option<LastOrder>,
    pub(super) cheap_order: Option<LastOrder>,
    /// While it is evacuated or has just returned.
    pub(super) evacuation: Option<Evacuation>,
}

impl ZoneState {
    fn is_cheap_unavailable(&self, now: Instant) -> bool {
        self.cheap_unavailable
            .is_some_and(|at| now.since(at) < CHEAP_RETRY_DELAY)
    }
}

/// Engines that are present or were ordered recently.
fn expected_engines(now: Instant, present: u32, last_order: Option<LastOrder>) -> u32 {
    match last_order {
        Some(order) if now.since(order.at) < START_TIME => order.count.max(present),
        _ => present,
    }
}

/// Decides the number of engines of one service in each zone.
#[derive(Debug, Clone)]
pub struct ServiceSizer {
    /// Smoothed load that cheap engines are planned for; begins with a reserve after taking over.
    smoothed_load: f64,
    /// Smoothed load as measured.
    measured_load: f64,
    taken_over: Instant,
    /// When a load was first measured.
    load_since: Option<Instant>,
    /// Number of engines that were present after taking over.
    initial_engines: u32,
    pub(super) zones: BTreeMap<ZoneId, ZoneState>,
}

impl ServiceSizer {
    /// A sizer for a duty holder that took over at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            smoothed_load: 0.0,
            measured_load: 0.0,
            taken_over: now,
            load_since: None,
            initial_engines: 0,
            zones: BTreeMap::new(),
        }
    }

    /// Records that no cheap engine was available in a zone.
    pub fn cheap_unavailable(&mut self, now: Instant, zone: &ZoneId) {
        self.zones
            .entry(zone.clone())
            .or_default()
            .cheap_unavailable = Some(now);
    }

    /// Records that an order failed, so that it is sent again.
    pub fn order_failed(&mut self, order: &ScaleOrder) {
        if let Some(zone) = self.zones.get_mut(&order.zone) {
            let last_order = if order.cheap {
                &mut zone.cheap_order
            } else {
                &mut zone.steady_order
            };
            *last_order = None;
            if let Some(evacuation) = zone.evacuation.as_mut().filter(|_| order.count == 0) {
                evacuation.retry_release();
            }
        }
    }

    /// Decides what to order. Must be called about twice a second.
    pub fn decide(&mut self, now: Instant, all: &ServiceView) -> Vec<ScaleOrder> {
        let mut view = self.zones_in_service(now, all);
        // The load of the scarcer resource, as prefill.
        let slots = view.slot_load / SLOT_UTILISATION * TARGET_UTILISATION;
        view.offered_load = view.offered_load.max(slots);
        let view = &view;
        if view.offered_load > 0.0 {
            self.load_since.get_or_insert(now);
        }
        if now.since(self.taken_over) < OBSERVATION_TIME {
            // The present engines are kept until the measured load shows what is needed. Their list
            // grows while engines write their registry entries.
            let present: u32 = view.zones.iter().map(|c| c.steady + c.cheap).sum();
            self.initial_engines = self.initial_engines.max(present);
            let factor = TAKEOVER_FACTOR + TAKEOVER_FACTOR_PER_S * view.gossip_delay.as_secs_f64();
            self.smoothed_load = self
                .smoothed_load
                .max(f64::from(present) * TARGET_UTILISATION * factor);
            return Vec::new();
        }
        if view.offered_load > 0.0 {
            for smoothed in [&mut self.smoothed_load, &mut self.measured_load] {
                let weight = if view.offered_load > *smoothed {
                    RISE_WEIGHT
                } else {
                    FALL_WEIGHT
                };
                *smoothed += weight * (view.offered_load - *smoothed);
            }
        }
        for counts in &view.zones {
            self.zones.entry(counts.zone.clone()).or_default();
        }
        let targets = self.cheap_targets(now, view);
        let mut orders = Vec::new();
        let mut shortfall = self.required_total(view);
        for counts in &view.zones {
            let cheap = targets.get(&counts.zone).copied().unwrap_or_default();
            let expected = self.order_cheap(now, view, counts, cheap, &mut orders);
            shortfall = shortfall.saturating_sub(expected);
        }
        let zones = view.zones.len().max(1) as u32;
        let steady = shortfall.div_ceil(zones).max(self.min_steady(view));
        let min_steady = self.min_steady(view);
        if shortfall == 0 {
            self.release_evacuated(now, all, &mut orders);
        }
        for counts in &view.zones {
            let cheap = targets.get(&counts.zone).copied().unwrap_or_default();
            let planned = cheap + min_steady;
            self.order_steady(now, view, counts, (steady, planned), &mut orders);
        }
        orders
    }

    /// Whether steady engines may be released: not while the load is still to come that the present
    /// ones were kept for.
    fn may_release(&self, now: Instant) -> bool {
        let known = self.load_since.map_or(Duration::ZERO, |at| now.since(at));
        known >= LOAD_SETTLE_TIME || now.since(self.taken_over) >= MAX_LOAD_WAIT
    }

    /// Number of engines in all zones that must be present, as steady ones if cheap ones cannot be
    /// had: those for the measured load, or as many as there were before until it is known.
    fn required_total(&self, view: &ServiceView) -> u32 {
        let desired = self.desired_total(view);
        if self.measured_load == 0.0 {
            return self.initial_engines.min(desired);
        }
        let needed = (self.measured_load / TARGET_UTILISATION).ceil() as u32;
        needed
            .max(view.zones.len() as u32 * MIN_ENGINES.min(view.bounds.max))
            .min(desired)
    }

    fn min_steady(&self, view: &ServiceView) -> u32 {
        MIN_STEADY.max(view.bounds.min).min(view.bounds.max)
    }

    /// Desired number of engines in all zones.
    fn desired_total(&self, view: &ServiceView) -> u32 {
        let zones = view.zones.len() as u32;
        let desired = (self.smoothed_load / TARGET_UTILISATION).ceil() as u32;
        desired.clamp(
            zones * MIN_ENGINES.min(view.bounds.max),
            zones * view.bounds.max,
        )
    }

    /// Desired number of cheap engines by zone: the engines beyond the steady minimum, spread over
    /// the zones where cheap ones are available.
    fn cheap_targets(&self, now: Instant, view: &ServiceView) -> BTreeMap<ZoneId, u32> {
        let mut targets = BTreeMap::new();
        if !view.bounds.cheap {
            return targets;
        }
        let min_steady = self.min_steady(view);
        let mut unassigned = self
            .desired_total(view)
            .saturating_sub(min_steady * view.zones.len() as u32);
        let max_cheap = view.bounds.max.saturating_sub(min_steady);
        let available: Vec<_> = view
            .zones
            .iter()
            .filter(|c| {
                !self
                    .zones
                    .get(&c.zone)
                    .is_some_and(|z| z.is_cheap_unavailable(now))
            })
            .collect();
        while unassigned > 0 {
            let before = unassigned;
            for counts in &available {
                let target: &mut u32 = targets.entry(counts.zone.clone()).or_default();
                if unassigned > 0 && *target < max_cheap {
                    *target += 1;
                    unassigned -= 1;
                }
            }
            if unassigned == before {
                break;
            }
        }
        targets
    }

    /// Orders cheap engines. Returns how many are present or expected soon.
    fn order_cheap(
        &mut self,
        now: Instant,
        view: &ServiceView,
        counts: &EngineCounts,
        desired: u32,
        orders: &mut Vec<ScaleOrder>,
    ) -> u32 {
        let Some(zone) = self.zones.get_mut(&counts.zone) else {
            return 0;
        };
        if zone.is_cheap_unavailable(now) || !view.bounds.cheap {
            return counts.cheap;
        }
        // Both kinds together must stay within the bounds, even before surplus steady ones are
        // released.
        let desired = desired.min(view.bounds.max.saturating_sub(counts.steady));
        let reclaimed = zone
            .cheap_order
            .as_mut()
            .is_some_and(|o| o.has_lost(counts.cheap));
        let overdue = expected_engines(now, counts.cheap, zone.cheap_order) <= counts.cheap;
        let lost = counts.cheap < desired && (reclaimed || overdue);
        if zone.cheap_order.is_none_or(|o| o.count != desired) || lost {
            if desired != counts.cheap || zone.cheap_order.is_some() {
                orders.push(ScaleOrder {
                    zone: counts.zone.clone(),
                    cheap: true,
                    count: desired,
                });
            }
            zone.cheap_order = Some(LastOrder::new(desired, now, counts.cheap));
        }
        expected_engines(now, counts.cheap, zone.cheap_order).min(desired.max(counts.cheap))
    }

    /// Orders steady engines for the load that cheap ones do not cover. The number shrinks only
    /// after enough engines have been present for a while, and in steps, so that the zone keeps most
    /// of its `planned` engines of both kinds while they are exchanged.
    fn order_steady(
        &mut self,
        now: Instant,
        view: &ServiceView,
        counts: &EngineCounts,
        (desired, planned): (u32, u32),
        orders: &mut Vec<ScaleOrder>,
    ) {
        let taken_over = self.taken_over;
        let may_release = self.may_release(now);
        let Some(zone) = self.zones.get_mut(&counts.zone) else {
            return;
        };
        let desired = desired
            .min(view.bounds.max.saturating_sub(counts.cheap))
            .max(1);
        let expected = expected_engines(now, counts.steady, zone.steady_order);
        let cheap_arrived = zone.cheap_order.is_none_or(|o| counts.cheap >= o.count);
        if desired > expected || !cheap_arrived {
            zone.satisfied_since = None;
        } else {
            zone.satisfied_since.get_or_insert(now);
        }
        let settled = zone
            .satisfied_since
            .is_some_and(|at| now.since(at) >= SETTLE_TIME);
        let may_shrink = settled && may_release && now.since(taken_over) >= SETTLE_TIME;
        let kept = planned.saturating_sub(counts.cheap + planned.div_ceil(EXCHANGE_SHARE));
        let count = if desired < expected && !may_shrink {
            expected
        } else {
            desired.max(kept.min(counts.steady))
        };
        let reclaimed = zone
            .steady_order
            .as_mut()
            .is_some_and(|o| o.has_lost(counts.steady));
        let lost = counts.steady < count && (reclaimed || expected <= counts.steady);
        let ordered = zone.steady_order.map_or(counts.steady, |o| o.count);
        if ordered == count && !lost {
            return;
        }
        zone.steady_order = Some(LastOrder::new(count, now, counts.steady));
        orders.push(ScaleOrder {
            zone: counts.zone.clone(),
            cheap: false,
            count,
        });
    }
}
