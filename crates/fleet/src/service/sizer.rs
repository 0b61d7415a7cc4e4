//! The sizer of one service.

use {
    super::{EngineCounts, ScaleOrder, ServiceView},
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::ZoneId,
};

/// Share of an engine's time that prompts may fill on average: beyond it, bursts delay first tokens and
/// pauses past their targets.
const FILL: f64 = 0.21;
/// Weight of the newest work in its mean, twice a second, when it rises and when it falls.
const RISE: f64 = 0.6;
const FALL: f64 = 0.01;
/// Time after taking over in which nothing is ordered: engines write their entries every second or so.
const LOOK_ROUND: Duration = Duration::from_millis(3_500);
/// Steady engines kept in each zone: they carry what may not be lost when cheap ones are reclaimed.
const STEADY_FLOOR: u32 = 1;
/// Engines kept in each zone in all while there is no work to go by.
const FIRST_SHARE: u32 = 3;
/// Engines kept by whoever takes over, against those that are there: what traffic needs is not known yet,
/// and new engines start with empty caches.
const START_SHARE: f64 = 1.5;
/// Share added to it for each second between two rounds of news: the older the news that VMs place by, the
/// higher the peaks at single engines, and it is while caches fill that these last.
const START_PER_S: f64 = 0.85;
/// Time that enough engines must have been there before steady ones are given up.
const SETTLED: Duration = Duration::from_secs(3);
/// Time before cheap engines are ordered again where none could be had.
const DRY_PAUSE: Duration = Duration::from_secs(2);
/// Time in which ordered engines come into service.
const COMING: Duration = Duration::from_millis(6_500);

#[derive(Debug, Clone, Copy)]
struct Sent {
    count: u32,
    at: Instant,
}

#[derive(Debug, Clone, Default)]
struct Zone {
    /// Since when enough engines are there.
    settled: Option<Instant>,
    dry: Option<Instant>,
    steady: Option<Sent>,
    cheap: Option<Sent>,
}

impl Zone {
    fn is_dry(&self, now: Instant) -> bool {
        self.dry.is_some_and(|at| now.since(at) < DRY_PAUSE)
    }
}

/// Engines that are there, or ordered a short time ago.
fn effective(now: Instant, present: u32, sent: Option<Sent>) -> u32 {
    match sent {
        Some(sent) if now.since(sent.at) < COMING => sent.count.max(present),
        _ => present,
    }
}

/// Decides the numbers of engines of one service.
#[derive(Debug, Clone)]
pub struct ServiceSizer {
    work: f64,
    since: Instant,
    zones: BTreeMap<ZoneId, Zone>,
}

impl ServiceSizer {
    /// A sizer of one that took over at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            work: 0.0,
            since: now,
            zones: BTreeMap::new(),
        }
    }

    /// Takes note that no cheap engine could be had in a zone.
    pub fn cheap_unavailable(&mut self, now: Instant, zone: &ZoneId) {
        self.zones.entry(zone.clone()).or_default().dry = Some(now);
    }

    /// Takes note that an order failed and has to be sent again.
    pub fn order_failed(&mut self, order: &ScaleOrder) {
        if let Some(zone) = self.zones.get_mut(&order.zone) {
            let sent = if order.cheap {
                &mut zone.cheap
            } else {
                &mut zone.steady
            };
            *sent = None;
        }
    }

    /// Decides what to order; called about twice a second.
    pub fn decide(&mut self, now: Instant, view: &ServiceView) -> Vec<ScaleOrder> {
        if now.since(self.since) < LOOK_ROUND {
            // Whoever takes over keeps what is there until the work shows what is needed; the list of
            // what is there fills as engines write their entries.
            let present: u32 = view.zones.iter().map(|p| p.steady + p.cheap).sum();
            let share = START_SHARE + START_PER_S * view.gossip_delay.as_secs_f64();
            self.work = self.work.max(f64::from(present) * FILL * share);
            return Vec::new();
        }
        let weight = if view.offered_load > self.work {
            RISE
        } else {
            FALL
        };
        if view.offered_load > 0.0 {
            self.work += weight * (view.offered_load - self.work);
        }
        for pool in &view.zones {
            self.zones.entry(pool.zone.clone()).or_default();
        }
        let shares = self.cheap_shares(now, view);
        let mut orders = Vec::new();
        let mut short = self.total(view);
        for pool in &view.zones {
            let cheap = shares.get(&pool.zone).copied().unwrap_or_default();
            let have = self.order_cheap(now, view, pool, cheap, &mut orders);
            short = short.saturating_sub(have);
        }
        let zones = view.zones.len().max(1) as u32;
        let steady = short.div_ceil(zones).max(self.floor(view));
        for pool in &view.zones {
            self.order_steady(now, view, pool, steady, &mut orders);
        }
        orders
    }

    fn floor(&self, view: &ServiceView) -> u32 {
        STEADY_FLOOR.max(view.bounds.min).min(view.bounds.max)
    }

    /// Engines wanted in all zones.
    fn total(&self, view: &ServiceView) -> u32 {
        let zones = view.zones.len() as u32;
        let wanted = (self.work / FILL).ceil() as u32;
        wanted.clamp(
            zones * FIRST_SHARE.min(view.bounds.max),
            zones * view.bounds.max,
        )
    }

    /// Cheap engines for each zone: what is wanted beyond the steady floor, spread over the zones that
    /// have some to give.
    fn cheap_shares(&self, now: Instant, view: &ServiceView) -> BTreeMap<ZoneId, u32> {
        let mut shares = BTreeMap::new();
        if !view.bounds.cheap {
            return shares;
        }
        let floor = self.floor(view);
        let mut left = self
            .total(view)
            .saturating_sub(floor * view.zones.len() as u32);
        let most = view.bounds.max.saturating_sub(floor);
        let open: Vec<_> = view
            .zones
            .iter()
            .filter(|p| !self.zones.get(&p.zone).is_some_and(|z| z.is_dry(now)))
            .collect();
        while left > 0 {
            let before = left;
            for pool in &open {
                let share: &mut u32 = shares.entry(pool.zone.clone()).or_default();
                if left > 0 && *share < most {
                    *share += 1;
                    left -= 1;
                }
            }
            if left == before {
                break;
            }
        }
        shares
    }

    /// Orders cheap engines; returns how many are there or on their way.
    fn order_cheap(
        &mut self,
        now: Instant,
        view: &ServiceView,
        pool: &EngineCounts,
        wanted: u32,
        orders: &mut Vec<ScaleOrder>,
    ) -> u32 {
        let Some(zone) = self.zones.get_mut(&pool.zone) else {
            return 0;
        };
        if zone.is_dry(now) || !view.bounds.cheap {
            return pool.cheap;
        }
        // Both kinds together stay within the bounds, also while steady ones are still there.
        let wanted = wanted.min(view.bounds.max.saturating_sub(pool.steady));
        let lost = pool.cheap < wanted && effective(now, pool.cheap, zone.cheap) <= pool.cheap;
        if zone.cheap.is_none_or(|s| s.count != wanted) || lost {
            if wanted != pool.cheap || zone.cheap.is_some() {
                orders.push(ScaleOrder {
                    zone: pool.zone.clone(),
                    cheap: true,
                    count: wanted,
                });
            }
            zone.cheap = Some(Sent {
                count: wanted,
                at: now,
            });
        }
        effective(now, pool.cheap, zone.cheap).min(wanted.max(pool.cheap))
    }

    fn order_steady(
        &mut self,
        now: Instant,
        view: &ServiceView,
        pool: &EngineCounts,
        needed: u32,
        orders: &mut Vec<ScaleOrder>,
    ) {
        let since = self.since;
        let Some(zone) = self.zones.get_mut(&pool.zone) else {
            return;
        };
        let needed = needed
            .min(view.bounds.max.saturating_sub(pool.cheap))
            .max(1);
        let have = effective(now, pool.steady, zone.steady);
        let arrived = zone.cheap.is_none_or(|s| pool.cheap >= s.count);
        if needed > have || !arrived {
            zone.settled = None;
        } else {
            zone.settled.get_or_insert(now);
        }
        let settled = zone.settled.is_some_and(|at| now.since(at) >= SETTLED);
        let may_shrink = settled && now.since(since) >= SETTLED;
        let count = if needed < have && !may_shrink {
            have
        } else {
            needed
        };
        let lost = pool.steady < count && have <= pool.steady;
        let known = zone.steady.map_or(pool.steady, |s| s.count);
        if known == count && !lost {
            return;
        }
        zone.steady = Some(Sent { count, at: now });
        orders.push(ScaleOrder {
            zone: pool.zone.clone(),
            cheap: false,
            count,
        });
    }
}
