//! Sizes of zones under bursts, reclaims and shortages.

use {
    clock::Instant,
    fleet::{EngineCounts, ScaleOrder, ScalingBounds, ServiceSizer, ServiceView},
    std::time::Duration,
    types::ZoneId,
};

const BOOT_S: u64 = 4;

/// A platform that starts engines after a boot time and gives steady ones up at once.
struct World {
    now: Instant,
    sizer: ServiceSizer,
    steady: Vec<u32>,
    cheap: Vec<u32>,
    coming: Vec<(u64, usize, bool, u32)>,
    second: u64,
    dry: bool,
    work: f64,
    orders: usize,
    low: u32,
}

fn zone(at: usize) -> ZoneId {
    format!("z{at}").parse().unwrap()
}

impl World {
    fn new() -> Self {
        let now = Instant::from_nanos(1 << 40);
        Self {
            now,
            sizer: ServiceSizer::new(now),
            steady: vec![3; 3],
            cheap: vec![0; 3],
            coming: Vec::new(),
            second: 0,
            dry: false,
            work: 2.0,
            orders: 0,
            low: u32::MAX,
        }
    }

    fn total(&self) -> u32 {
        self.steady.iter().chain(&self.cheap).sum()
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.step();
        }
    }

    fn step(&mut self) {
        self.second += 1;
        self.now = self.now + Duration::from_secs(1);
        let due: Vec<_> = self.coming.extract_if(.., |c| c.0 <= self.second).collect();
        for (_, at, cheap, count) in due {
            let kind = if cheap {
                &mut self.cheap
            } else {
                &mut self.steady
            };
            kind[at] = kind[at].max(count);
        }
        let zones = (0..3).map(|at| EngineCounts {
            zone: zone(at),
            steady: self.steady[at],
            cheap: self.cheap[at],
        });
        let view = ServiceView {
            bounds: ScalingBounds {
                min: 1,
                max: 6,
                cheap: true,
            },
            zones: zones.collect(),
            offered_load: self.work,
            gossip_delay: Duration::ZERO,
        };
        for order in self.sizer.decide(self.now, &view) {
            self.orders += 1;
            self.carry_out(order);
        }
        self.low = self.low.min(self.total());
    }

    fn carry_out(&mut self, order: ScaleOrder) {
        let at = (0..3).find(|at| zone(*at) == order.zone).unwrap();
        assert!(order.count <= 6);
        if order.cheap && self.dry {
            self.sizer.cheap_unavailable(self.now, &order.zone);
            self.sizer.order_failed(&order);
            return;
        }
        let kind = if order.cheap {
            &mut self.cheap
        } else {
            &mut self.steady
        };
        if order.count <= kind[at] {
            kind[at] = order.count;
            self.coming.retain(|c| (c.1, c.2) != (at, order.cheap));
        } else {
            let due = self.second + BOOT_S;
            self.coming.push((due, at, order.cheap, order.count));
        }
    }
}

#[test]
fn cheap_engines_take_over_without_a_dip() {
    let mut world = World::new();
    world.run(20);
    assert_eq!(world.steady, [1, 1, 1]);
    assert!(world.cheap.iter().sum::<u32>() >= 6);
    assert!(world.low >= 9, "never below what was there: {}", world.low);
}

#[test]
fn list_that_fills_slowly_is_no_reason_to_give_engines_up() {
    let mut world = World::new();
    let there = std::mem::replace(&mut world.steady, vec![0, 1, 0]);
    world.work = 0.0;
    world.run(2);
    world.steady = there;
    world.run(15);
    assert!(world.total() >= 9, "{}", world.total());
}

#[test]
fn burst_brings_engines_within_seconds() {
    let mut world = World::new();
    world.run(20);
    world.work = 5.0;
    world.run(3 + BOOT_S);
    assert!(world.total() >= 15, "{}", world.total());
}

#[test]
fn reclaimed_zone_is_made_good_elsewhere() {
    let mut world = World::new();
    world.run(20);
    let before = world.total();
    world.cheap[0] = 0;
    world.run(2 + BOOT_S);
    assert!(world.total() >= before, "{} of {before}", world.total());
}

#[test]
fn steady_engines_stand_in_while_no_cheap_ones_can_be_had() {
    let mut world = World::new();
    // The surplus of the start is given up slowly; only then is the total what the work needs.
    world.run(120);
    let before = world.total();
    world.dry = true;
    world.cheap = vec![0; 3];
    world.run(4 + BOOT_S);
    assert!(world.total() >= before, "{} of {before}", world.total());
    world.dry = false;
    world.run(30);
    assert_eq!(world.steady, [1, 1, 1]);
}

#[test]
fn quiet_load_brings_few_orders() {
    let mut world = World::new();
    world.run(20);
    let before = world.orders;
    world.run(60);
    assert!(world.orders - before <= 6, "{}", world.orders - before);
}

#[test]
fn fleet_that_hears_news_late_starts_with_more_engines() {
    let total = |news_every: Duration| {
        let now = Instant::from_nanos(1 << 40);
        let mut sizer = ServiceSizer::new(now);
        let mut wanted = [3; 3];
        for step in 0..10 {
            let pool = |at: usize| EngineCounts {
                zone: zone(at),
                steady: 3,
                cheap: 0,
            };
            let view = ServiceView {
                bounds: ScalingBounds {
                    min: 1,
                    max: 20,
                    cheap: true,
                },
                zones: (0..3).map(pool).collect(),
                offered_load: 0.0,
                gossip_delay: news_every,
            };
            let now = now + Duration::from_millis(500 * step);
            for order in sizer.decide(now, &view).iter().filter(|o| o.cheap) {
                let at = (0..3).find(|at| zone(*at) == order.zone).unwrap();
                wanted[at] = order.count + 1;
            }
        }
        wanted.iter().sum::<u32>()
    };
    // Nine engines are there; what traffic needs is not known yet.
    assert!(total(Duration::ZERO) >= 13);
    assert!(total(Duration::from_millis(600)) >= 18);
}
