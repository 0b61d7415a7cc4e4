//! Decisions of the planner with a platform that lists new endpoints at once.

use {
    clock::Instant,
    conf::PoolBounds,
    fleet::{Attainment, Demand, ScalingRules, ZonePlanner, ZoneView},
    ports::{Endpoint, EndpointState, OrderAction},
    quickcheck::{Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
    types::ModelId,
};

const SLOTS: u32 = 4;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn rules() -> ScalingRules {
    ScalingRules {
        high_watermark: 0.8,
        low_watermark: 0.5,
        release_delay: secs(30),
        cooldown: secs(5),
        max_step: 2,
        start_timeout: secs(60),
        cheap_backoff: secs(20),
        cheap_price: 0.3,
        budget: 100.0,
    }
}

fn pool(min: u32, max: u32, cheap: f64, spare: u32) -> PoolBounds {
    PoolBounds {
        serves: model(),
        zone: "a".parse().unwrap(),
        min,
        max,
        cheap,
        spare,
    }
}

fn model() -> ModelId {
    "m".parse().unwrap()
}

/// A zone whose orders are executed at once.
struct ZoneSim {
    planner: ZonePlanner,
    pool: PoolBounds,
    rules: ScalingRules,
    now: Instant,
    live: Vec<Endpoint>,
    cheap_available: bool,
    started: u32,
}

impl ZoneSim {
    fn new(pool: PoolBounds, rules: ScalingRules) -> Self {
        Self {
            planner: ZonePlanner::new(Instant::default(), rules),
            pool,
            rules,
            now: Instant::default() + rules.cooldown,
            live: Vec::new(),
            cheap_available: true,
            started: 0,
        }
    }

    fn round(&mut self, demand: Demand) -> Vec<OrderAction> {
        let demands = BTreeMap::from([(model(), demand)]);
        let slots = BTreeMap::from([(model(), SLOTS)]);
        let view = ZoneView {
            pools: std::slice::from_ref(&self.pool),
            slots: &slots,
            endpoints: &self.live,
            demands: &demands,
        };
        let actions = self.planner.decide(self.now, view);
        for action in &actions {
            let succeeded = self.execute(action);
            self.planner.order_finished(self.now, action, succeeded);
        }
        self.now = self.now + secs(1);
        actions
    }

    fn execute(&mut self, action: &OrderAction) -> bool {
        match action {
            OrderAction::Start { cheap: true, .. } if !self.cheap_available => return false,
            OrderAction::Start { cheap, .. } => {
                self.started += 1;
                self.live.push(Endpoint {
                    id: format!("m-{}", self.started).parse().unwrap(),
                    serves: model(),
                    cheap: *cheap,
                    addr: "127.0.0.1:1".parse().unwrap(),
                    state: EndpointState::Live,
                });
            }
            OrderAction::Release { endpoint } => self.live.retain(|e| e.id != *endpoint),
        }
        true
    }

    fn rounds(&mut self, count: u32, demand: Demand) -> usize {
        (0..count).map(|_| self.round(demand).len()).sum()
    }

    fn cheap(&self) -> usize {
        self.live.iter().filter(|e| e.cheap).count()
    }

    fn cost(&self) -> f64 {
        self.planner.spending(&self.live)
    }
}

fn demand(total: u32) -> Demand {
    Demand {
        running: total,
        ..Demand::default()
    }
}

#[test]
fn grows_in_steps_to_the_demand_plus_spare() {
    let mut zone = ZoneSim::new(pool(1, 10, 0.0, 1), rules());
    assert_eq!(zone.round(demand(16)).len(), 2);
    assert_eq!(
        zone.round(demand(16)).len(),
        0,
        "no change during the cooldown"
    );
    zone.rounds(40, demand(16));
    assert_eq!(
        zone.live.len(),
        6,
        "16 requests at 3.2 per endpoint, plus one spare"
    );
}

#[test]
fn short_dip_releases_nothing_and_long_one_shrinks_to_the_minimum() {
    let mut zone = ZoneSim::new(pool(2, 10, 0.0, 0), rules());
    zone.rounds(40, demand(16));
    assert_eq!(zone.live.len(), 5);
    zone.rounds(29, demand(1));
    assert_eq!(zone.live.len(), 5);
    zone.rounds(10, demand(16));
    zone.rounds(200, demand(0));
    assert_eq!(zone.live.len(), 2);
}

#[test]
fn demand_between_the_watermarks_changes_nothing() {
    let mut zone = ZoneSim::new(pool(1, 10, 0.0, 0), rules());
    zone.rounds(40, demand(16));
    assert_eq!(zone.rounds(200, demand(10)), 0);
}

#[test]
fn missed_objective_adds_one_endpoint() {
    let mut zone = ZoneSim::new(pool(1, 10, 0.0, 0), rules());
    zone.rounds(20, demand(3));
    assert_eq!(zone.live.len(), 1);
    let missed = Attainment {
        share: 0.9,
        objective: 0.95,
    };
    zone.rounds(
        20,
        Demand {
            attainment: Some(missed),
            ..demand(3)
        },
    );
    assert_eq!(zone.live.len(), 2);
}

#[test]
fn steady_endpoints_substitute_for_unavailable_cheap_ones_until_these_return() {
    let mut zone = ZoneSim::new(pool(4, 8, 0.5, 0), rules());
    zone.cheap_available = false;
    zone.rounds(10, demand(1));
    assert_eq!((zone.live.len(), zone.cheap()), (4, 0));
    zone.cheap_available = true;
    zone.rounds(300, demand(1));
    assert_eq!((zone.live.len(), zone.cheap()), (4, 2));
}

#[test]
fn reclaimed_endpoints_are_replaced_without_cooldown() {
    let mut zone = ZoneSim::new(pool(4, 8, 0.5, 0), rules());
    zone.rounds(20, demand(1));
    assert_eq!(zone.cheap(), 2);
    zone.live.retain(|e| !e.cheap);
    zone.cheap_available = false;
    zone.rounds(3, demand(1));
    assert_eq!((zone.live.len(), zone.cheap()), (4, 0));
}

#[test]
fn cost_stays_within_the_budget() {
    let rules = ScalingRules {
        budget: 3.0,
        ..rules()
    };
    let mut zone = ZoneSim::new(pool(1, 10, 0.5, 0), rules);
    zone.cheap_available = false;
    zone.rounds(100, demand(100));
    assert_eq!(zone.live.len(), 3);
}

#[test]
fn bounds_and_budget_hold_for_any_demand() {
    fn holds(seed: u64, rounds: Vec<(u8, bool)>) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let max = rng.u32(1..12);
        let min = rng.u32(..=max);
        let rules = ScalingRules {
            budget: rng.f64() * 12.0,
            ..rules()
        };
        let mut zone = ZoneSim::new(pool(min, max, rng.f64(), rng.u32(..3)), rules);
        rounds.into_iter().all(|(total, cheap)| {
            zone.cheap_available = cheap;
            let before = zone.live.len();
            let changes = (0..10).map(|_| zone.round(demand(total.into())));
            let changes_per_round: Vec<_> = changes.map(|c| c.len()).collect();
            let after = zone.live.len();
            after <= max as usize
                && after >= before.min(min as usize)
                && zone.cost() <= zone.rules.budget + 1e-9
                && changes_per_round
                    .into_iter()
                    .all(|n| n <= rules.max_step as usize)
        })
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(100, 6))
        .quickcheck(holds as fn(u64, Vec<(u8, bool)>) -> bool);
}
