//! The sizer of one service.

use {
    super::{PoolCount, SizeOrder, SizeView},
    clock::Stamp,
    std::{collections::BTreeMap, time::Duration},
    types::ZoneId,
};

/// Share of an engine's time that prompts may fill on average: beyond it, bursts delay first tokens and
/// pauses past their targets.
const FILL: f64 = 0.25;
/// Weight of a second's work in its mean, when it rises and when it falls.
const RISE: f64 = 0.6;
const FALL: f64 = 0.08;
/// Steady engines kept in each zone: they carry what may not be lost when cheap ones are reclaimed.
const STEADY_FLOOR: u32 = 1;
/// Time that enough cheap engines must have been there before steady ones are given up.
const SETTLED: Duration = Duration::from_secs(3);
/// Time before cheap engines are ordered again where none could be had.
const DRY_PAUSE: Duration = Duration::from_secs(3);
/// Time after which an order is sent again, in case that it was lost.
const REPEAT: Duration = Duration::from_secs(6);

#[derive(Debug, Clone, Default)]
struct Zone {
    /// Since when enough cheap engines are there.
    settled: Option<Stamp>,
    dry: Option<Stamp>,
    /// Last orders: steady, cheap.
    sent: [Option<(u32, Stamp)>; 2],
}

/// Decides the numbers of engines of one service.
#[derive(Debug, Clone)]
pub struct ZoneSizer {
    work: f64,
    since: Stamp,
    zones: BTreeMap<ZoneId, Zone>,
}

impl ZoneSizer {
    /// A sizer of one that took over at `now`.
    pub fn new(now: Stamp) -> Self {
        Self {
            work: 0.0,
            since: now,
            zones: BTreeMap::new(),
        }
    }

    /// Takes note that no cheap engine could be had in a zone.
    pub fn dry(&mut self, now: Stamp, zone: &ZoneId) {
        self.zones.entry(zone.clone()).or_default().dry = Some(now);
    }

    /// Takes note that an order failed and has to be sent again.
    pub fn failed(&mut self, order: &SizeOrder) {
        if let Some(zone) = self.zones.get_mut(&order.zone) {
            zone.sent[usize::from(order.cheap)] = None;
        }
    }

    /// Decides what to order; called about once a second.
    pub fn decide(&mut self, now: Stamp, view: &SizeView) -> Vec<SizeOrder> {
        let weight = if view.work > self.work { RISE } else { FALL };
        self.work += weight * (view.work - self.work);
        let zones = view.zones.len().max(1) as f64;
        let share = (self.work / FILL / zones).ceil() as u32;
        let floor = STEADY_FLOOR.max(view.bounds.min);
        let share = share.clamp(floor.min(view.bounds.max), view.bounds.max);
        let mut orders = Vec::new();
        for pool in &view.zones {
            self.zone(now, view, (share, floor), pool, &mut orders);
        }
        orders
    }

    fn zone(
        &mut self,
        now: Stamp,
        view: &SizeView,
        (share, floor): (u32, u32),
        pool: &PoolCount,
        orders: &mut Vec<SizeOrder>,
    ) {
        let since = self.since;
        let zone = self.zones.entry(pool.zone.clone()).or_default();
        let dry = zone.dry.is_some_and(|at| now.since(at) < DRY_PAUSE);
        let most_cheap = view.bounds.max.saturating_sub(pool.steady.max(floor));
        let cheap = if view.bounds.cheap {
            share.saturating_sub(floor).min(most_cheap)
        } else {
            0
        };
        let needed = share.saturating_sub(pool.cheap).max(floor);
        let enough = needed <= pool.steady;
        if !enough {
            zone.settled = None;
        }
        let settled = *zone.settled.get_or_insert(now);
        let may_shrink = enough && now.since(settled) >= SETTLED && now.since(since) >= SETTLED;
        // Cheap engines on their way count: steady ones are ordered where cheap ones cannot be had.
        let coming = if dry {
            0
        } else {
            cheap.saturating_sub(pool.cheap)
        };
        let urgent = needed.saturating_sub(coming).max(floor);
        let steady = if may_shrink {
            needed
        } else {
            pool.steady.max(urgent)
        };
        let steady = steady.min(view.bounds.max);
        if !dry && view.bounds.cheap {
            zone.send(now, &pool.zone, true, (cheap, pool.cheap), orders);
        }
        zone.send(now, &pool.zone, false, (steady, pool.steady), orders);
    }
}

impl Zone {
    /// Orders `count` unless that was ordered before, or is what there is.
    fn send(
        &mut self,
        now: Stamp,
        zone: &ZoneId,
        cheap: bool,
        (count, present): (u32, u32),
        orders: &mut Vec<SizeOrder>,
    ) {
        let last = &mut self.sent[usize::from(cheap)];
        let repeated = last.is_some_and(|(sent, at)| {
            sent == count && (present == count || now.since(at) < REPEAT)
        });
        if repeated || (last.is_none() && present == count) {
            return;
        }
        *last = Some((count, now));
        orders.push(SizeOrder {
            zone: zone.clone(),
            cheap,
            count,
        });
    }
}
