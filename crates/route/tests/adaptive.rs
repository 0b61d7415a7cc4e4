//! The adaptive picker against stragglers, crashes and crowding, with the baselines in the same
//! run.

mod sim;

use {
    clock::Stamp,
    quickcheck::{Gen, QuickCheck},
    route::{Adaptive, LeastOutstanding, LoadReport, Picker, RequestOutcome, RoundRobin},
    sim::{Sim, id, need, target},
    std::{collections::BTreeMap, time::Duration},
};

const TARGET: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);

fn nine(picker: impl Picker + 'static, seed: u64) -> Sim {
    let targets: Vec<_> = (0..9).map(|i| target(i, false, 8)).collect();
    Sim::new(picker, &targets, seed)
}

/// One engine of nine turns five times slower. After two seconds to notice, answers meet the
/// target.
#[test]
fn a_straggler_is_left_alone() {
    for seed in 1..=3 {
        let run = |mut sim: Sim| {
            sim.run(5 * SECOND, 60.0, &need(0, true));
            sim.engine(4).slow = 5.0;
            sim.run(25 * SECOND, 60.0, &need(0, true));
            (
                sim.attained(5 * SECOND, TARGET),
                sim.attained(7 * SECOND, TARGET),
            )
        };
        let adaptive = run(nine(Adaptive::default(), seed));
        let least = run(nine(LeastOutstanding::default(), seed));
        let robin = run(nine(RoundRobin::default(), seed));
        println!(
            "straggler seed {seed}: attained from the fault {:.4} least {:.4} robin {:.4}, after \
             2 s {:.4} least {:.4} robin {:.4}",
            adaptive.0, least.0, robin.0, adaptive.1, least.1, robin.1
        );
        assert!(adaptive.1 >= 0.99);
        assert!(
            least.1 < 0.99 && robin.1 < 0.99,
            "the baselines show no straggler"
        );
    }
}

/// An engine that fails at once attracts requests of a policy that looks at load alone.
#[test]
fn a_crashed_endpoint_gets_probes_only() {
    for seed in 1..=3 {
        let run = |mut sim: Sim| {
            sim.engine(2).dead = true;
            sim.run(20 * SECOND, 60.0, &need(0, true));
            sim.failures
        };
        let adaptive = run(nine(Adaptive::default(), seed));
        let least = run(nine(LeastOutstanding::default(), seed));
        println!("crash seed {seed}: failed attempts in 20 s {adaptive}, least {least}");
        assert!(
            adaptive <= 12,
            "{adaptive} failures: 3, then probes at 1, 2, 4, 8 s and so on"
        );
        assert!(least > 12);
    }
}

/// A straggler that recovers takes requests again.
#[test]
fn a_recovered_endpoint_returns() {
    let mut sim = nine(Adaptive::default(), 4);
    sim.engine(4).slow = 5.0;
    sim.run(10 * SECOND, 60.0, &need(0, true));
    assert!(sim.picker.slots() <= 64, "the straggler is not ejected");
    sim.engine(4).slow = 1.0;
    sim.run(40 * SECOND, 60.0, &need(0, true));
    assert_eq!(sim.picker.slots(), 72);
}

/// With too many slots configured, the limit keeps the time between tokens at the target.
#[test]
fn the_limit_follows_the_target() {
    let targets: Vec<_> = (0..2).map(|i| target(i, false, 64)).collect();
    let run = |mut sim: Sim| {
        for index in 0..2 {
            sim.engine(index).crowd_ms = 1.0;
        }
        sim.run(40 * SECOND, 60.0, &need(0, true));
        let from = 10 * SECOND;
        let recent: Vec<_> = sim.answers.iter().filter(|a| a.arrived >= from).collect();
        let sum: Duration = recent.iter().map(|a| a.between).sum();
        (sum / recent.len() as u32, sim.answers.len())
    };
    let (adaptive, made) = run(Sim::new(Adaptive::default(), &targets, 5));
    let (least, least_made) = run(Sim::new(LeastOutstanding::default(), &targets, 5));
    println!(
        "limit: mean between tokens {adaptive:?} with {made} answers, least {least:?} with \
         {least_made} answers"
    );
    assert!(adaptive <= TARGET);
    assert!(least > TARGET, "the baseline shows no crowding");
}

/// Even when all endpoints fail, most of them keep taking requests.
#[test]
fn ejection_is_bounded() {
    let mut sim = nine(Adaptive::default(), 6);
    for index in 0..9 {
        sim.engine(index).dead = true;
    }
    sim.run(SECOND, 20.0, &need(0, true));
    assert!(sim.picker.slots() >= 6 * 8);
}

/// Random requests start and end at random. No request that may not be repeated is ever on a cheap
/// endpoint, no endpoint exceeds its slots, low tiers leave the steady room that high tiers on
/// cheap endpoints need back, and a high tier that may run anywhere waits only while no slot is
/// free at all.
#[test]
fn cheap_endpoints_are_used_safely() {
    fn property(ops: Vec<(u8, bool, bool)>) -> bool {
        let targets: Vec<_> = (0..6).map(|i| target(i, i >= 3, 4)).collect();
        let mut picker = Adaptive::default();
        let now = Stamp::from_nanos(1);
        picker.set_candidates(now, &targets);
        let mut held: Vec<(usize, u8)> = Vec::new();
        ops.into_iter().all(|(choice, idempotent, ends)| {
            if ends && !held.is_empty() {
                let (at, tier) = held.swap_remove(choice as usize % held.len());
                picker.release(now, &id(at), types::Tier(tier), RequestOutcome::Completed);
                return true;
            }
            let tier = choice % 4;
            let on = |cheap: bool, high: bool| {
                let held = held
                    .iter()
                    .filter(|(at, tier)| (*at >= 3) == cheap && (*tier < 2 || !high));
                held.count()
            };
            let (free, displaced) = (12 - on(false, false), on(true, true));
            let Some(target) = picker.pick(now, &need(tier, idempotent)) else {
                return idempotent && tier >= 2 && on(true, false) == 12 && free <= displaced
                    || !idempotent && (free == 0 || tier >= 2 && free <= displaced)
                    || idempotent && tier < 2 && free == 0 && on(true, false) == 12;
            };
            let at = targets.iter().position(|t| t.id == target.id).unwrap();
            held.push((at, tier));
            let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
            held.iter()
                .for_each(|(at, _)| *counts.entry(*at).or_default() += 1);
            let safe = !target.cheap || idempotent;
            let way_back = target.cheap || tier < 2 || displaced < free;
            safe && way_back && counts.values().all(|n| *n <= 4)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, bool, bool)>) -> bool);
}

/// Low tiers use cheap endpoints first, high tiers steady ones.
#[test]
fn price_follows_the_tier() {
    let targets = [target(0, false, 8), target(1, true, 8)];
    let mut picker = Adaptive::default();
    let now = Stamp::from_nanos(1);
    picker.set_candidates(now, &targets);
    for _ in 0..8 {
        assert_eq!(picker.pick(now, &need(3, true)).unwrap().id, id(1));
    }
    for _ in 0..8 {
        assert_eq!(picker.pick(now, &need(0, true)).unwrap().id, id(0));
    }
}

/// Equal prompt starts meet at one endpoint while it has no more than its load.
#[test]
fn prefixes_stick_until_the_endpoint_is_loaded() {
    let targets: Vec<_> = (0..4).map(|i| target(i, false, 8)).collect();
    let mut picker = Adaptive::default();
    let now = Stamp::from_nanos(1);
    picker.set_candidates(now, &targets);
    let mut request = need(0, true);
    request.prefix_hash = 11;
    let mut counts = BTreeMap::new();
    for _ in 0..20 {
        let picked = picker.pick(now, &request).unwrap();
        *counts.entry(picked.id).or_insert(0) += 1;
    }
    let (most, least) = (
        counts.values().max().unwrap(),
        counts.values().min().unwrap(),
    );
    assert_eq!(counts.len(), 4);
    let bound = (1.25 * 5.0 + 2.0) as u32;
    assert!(most > least && *most <= bound, "{counts:?}");
}

/// A fresh report of others' requests sends new ones elsewhere; an old one no longer does.
#[test]
fn reports_count_second_and_fade() {
    let targets = [target(0, false, 8), target(1, false, 8)];
    let mut picker = Adaptive::default();
    let now = Stamp::from_nanos(1_000_000_000);
    picker.set_candidates(now, &targets);
    let report = LoadReport {
        running: 4,
        waiting: 0,
    };
    picker.report_load(now, &id(0), report);
    for _ in 0..4 {
        assert_eq!(picker.pick(now, &need(0, true)).unwrap().id, id(1));
    }
    let later = now + 6 * SECOND;
    assert_eq!(picker.pick(later, &need(0, true)).unwrap().id, id(0));
}
