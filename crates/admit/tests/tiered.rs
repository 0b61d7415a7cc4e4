//! Invariants of the tiered queue, checked over random arrivals with fixed seeds.

mod sim;

use {
    admit::{ClassRule, Queue, TieredQueue},
    clock::Instant,
    quickcheck::{Gen, QuickCheck},
    sim::{Flow, Sim, record_slot_times, request, rule},
    std::{collections::BTreeMap, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);

fn check_property<A: quickcheck::Testable>(tests: u64, seed: u64, property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(tests)
        .quickcheck(property);
}

fn start() -> Instant {
    Instant::from_nanos(1_000_000_000)
}

fn three_classes() -> Vec<ClassRule> {
    vec![
        rule("urgent", 0, 2_000, 500),
        rule("summary", 1, 2_000, 1_000),
        rule("batch", 3, 2_000, 5_000),
    ]
}

fn flow(class: &'static str, org: &'static str, rate: f64) -> Flow {
    Flow {
        class,
        org,
        rate,
        tokens: 20.0,
        span: (0.0, f64::INFINITY),
    }
}

/// A full queue sheds requests of the lowest tier, among those waiting and the one arriving.
#[test]
fn full_queue_sheds_the_lowest_tier() {
    fn property(arrivals: Vec<u8>) -> bool {
        let mut rules = three_classes();
        for r in &mut rules {
            r.depth = 4;
            r.first_token = 1_000 * SECOND;
            r.starvation_limit = 1_000 * SECOND;
        }
        let mut queue = TieredQueue::default();
        queue.set_classes(&rules);
        let mut waiting: BTreeMap<u64, u8> = BTreeMap::new();
        arrivals.iter().enumerate().all(|(id, draw)| {
            let rule = &rules[*draw as usize % rules.len()];
            waiting.insert(id as u64, rule.tier.0);
            let orgs = ["a", "b"];
            let request = request(id as u64, rule, orgs[*draw as usize % 2], start());
            queue.offer(start(), request).iter().all(|s| {
                let lowest = waiting.values().max().copied();
                waiting.remove(&s.request.id.0);
                Some(s.request.tier.0) == lowest
            }) && queue.len() == waiting.len()
                && queue.len() <= 12
        })
    }
    check_property(300, 1, property as fn(Vec<u8>) -> bool);
}

/// Waiting requests of lower tiers never cause a higher-tier request to be refused for lateness.
#[test]
fn refusals_for_lateness_ignore_lower_tiers() {
    fn property(arrivals: Vec<u8>) -> bool {
        let rules = three_classes();
        let (mut mixed, mut alone) = (TieredQueue::default(), TieredQueue::default());
        for queue in [&mut mixed, &mut alone] {
            queue.set_classes(&rules);
            queue.set_capacity(2);
            for rule in &rules {
                record_slot_times(queue, &rule.id, Duration::from_millis(40));
            }
        }
        let mut time = start();
        arrivals.iter().enumerate().all(|(id, draw)| {
            time = time + Duration::from_millis(1);
            let rule = &rules[*draw as usize % rules.len()];
            let request = request(id as u64, rule, "a", time);
            if rule.tier.0 > 0 {
                mixed.offer(time, request);
                return true;
            }
            let accepted = mixed.offer(time, request.clone()).is_empty();
            accepted == alone.offer(time, request).is_empty()
        })
    }
    check_property(300, 2, property as fn(Vec<u8>) -> bool);
}

/// Under any mix, each class with demand is dispatched within its starvation limit, no slot stays
/// free while a request waits, and almost no tokens are spent on late requests.
#[test]
fn starvation_limits_hold_and_slots_stay_busy() {
    fn property(seed: u64, rates: (u8, u8, u8)) -> bool {
        let mut sim = Sim::new(Box::new(TieredQueue::default()), &three_classes(), 8, seed);
        let flows = [
            flow("urgent", "a", f64::from(rates.0) / 2.0),
            flow("summary", "b", 5.0 + f64::from(rates.1) / 4.0),
            flow("batch", "c", 5.0 + f64::from(rates.2) / 4.0),
        ];
        sim.run(12.0, &flows);
        let bound = 2 * SECOND;
        let bounds_held = ["summary", "batch"].iter().all(|class| {
            let of_class = sim.dispatches.iter().filter(|d| d.0 == *class);
            let mut last = sim
                .records
                .iter()
                .find(|r| r.class == *class)
                .unwrap()
                .arrived;
            of_class.chain([&("", 12 * SECOND)]).all(|(_, at)| {
                let first = sim
                    .records
                    .iter()
                    .find(|r| r.class == *class && r.arrived >= last);
                let from = first.map_or(*at, |r| r.arrived.max(last));
                last = *at;
                at.saturating_sub(from) <= bound
            })
        });
        bounds_held && sim.idle == 0 && sim.wasted() < 0.01
    }
    check_property(25, 3, property as fn(u64, (u8, u8, u8)) -> bool);
}

/// A class whose requests would all be refused for lateness still gets its guaranteed rate.
#[test]
fn class_below_an_overloaded_tier_is_not_starved() {
    let rules = [rule("urgent", 0, 2_000, 500), rule("short", 1, 2_000, 300)];
    let mut sim = Sim::new(Box::new(TieredQueue::default()), &rules, 8, 4);
    sim.run(
        20.0,
        &[flow("urgent", "a", 120.0), flow("short", "b", 10.0)],
    );
    let served = sim.dispatches.iter().filter(|d| d.0 == "short").count();
    assert!(
        served >= 10,
        "{served} dispatches in 20 s with a starvation limit of 2 s"
    );
}

/// Nothing is refused far below capacity.
#[test]
fn nothing_is_refused_under_light_load() {
    let mut sim = Sim::new(Box::new(TieredQueue::default()), &three_classes(), 8, 5);
    let flows = [
        flow("urgent", "a", 6.0),
        flow("summary", "b", 6.0),
        flow("batch", "c", 4.0),
    ];
    sim.run(30.0, &flows);
    assert_eq!(sim.records.iter().filter(|r| r.shed.is_some()).count(), 0);
}
