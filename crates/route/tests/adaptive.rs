//! Adaptive picker with stragglers, crashes and overload, compared with the baselines in the same
//! run.

mod sim;

use {
    clock::Instant,
    quickcheck::{Gen, QuickCheck},
    route::{Adaptive, LeastOutstanding, LoadReport, Picker, RequestOutcome, RoundRobin},
    sim::{Sim, candidate, id, requirements},
    std::{collections::BTreeMap, time::Duration},
};

const TARGET: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);

fn sim_with_nine(picker: impl Picker + 'static, seed: u64) -> Sim {
    let candidates: Vec<_> = (0..9).map(|i| candidate(i, false, 8)).collect();
    Sim::new(picker, &candidates, seed)
}

/// One engine of nine becomes five times slower. From two seconds later on, responses meet the
/// target again.
#[test]
fn straggler_does_not_slow_down_responses() {
    for seed in 1..=3 {
        let run = |mut sim: Sim| {
            sim.run(5 * SECOND, 60.0, &requirements(0, true));
            sim.engine(4).slowdown = 5.0;
            sim.run(25 * SECOND, 60.0, &requirements(0, true));
            (
                sim.attained(5 * SECOND, TARGET),
                sim.attained(7 * SECOND, TARGET),
            )
        };
        let adaptive = run(sim_with_nine(Adaptive::default(), seed));
        let least = run(sim_with_nine(LeastOutstanding::default(), seed));
        let robin = run(sim_with_nine(RoundRobin::default(), seed));
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

/// An engine that fails requests at once looks idle and attracts them if only load counts.
#[test]
fn crashed_endpoint_gets_only_probes() {
    for seed in 1..=3 {
        let run = |mut sim: Sim| {
            sim.engine(2).crashed = true;
            sim.run(20 * SECOND, 60.0, &requirements(0, true));
            sim.failures
        };
        let adaptive = run(sim_with_nine(Adaptive::default(), seed));
        let least = run(sim_with_nine(LeastOutstanding::default(), seed));
        println!("crash seed {seed}: failed attempts in 20 s {adaptive}, least {least}");
        assert!(
            adaptive <= 12,
            "{adaptive} failures: 3, then probes at 1, 2, 4, 8 s and so on"
        );
        assert!(least > 12);
    }
}

/// A straggler that recovers must not stay ejected.
#[test]
fn recovered_straggler_takes_requests_again() {
    let mut sim = sim_with_nine(Adaptive::default(), 4);
    sim.engine(4).slowdown = 5.0;
    sim.run(10 * SECOND, 60.0, &requirements(0, true));
    assert!(sim.picker.slots() <= 64, "the straggler was not ejected");
    sim.engine(4).slowdown = 1.0;
    sim.run(40 * SECOND, 60.0, &requirements(0, true));
    assert_eq!(sim.picker.slots(), 72);
}

/// With too many slots configured, the concurrency limit keeps the inter-token time at the target.
#[test]
fn concurrency_limit_keeps_the_inter_token_target() {
    let candidates: Vec<_> = (0..2).map(|i| candidate(i, false, 64)).collect();
    let run = |mut sim: Sim| {
        for index in 0..2 {
            sim.engine(index).step_per_request_ms = 1.0;
        }
        sim.run(40 * SECOND, 60.0, &requirements(0, true));
        let from = 10 * SECOND;
        let recent: Vec<_> = sim.responses.iter().filter(|r| r.arrived >= from).collect();
        let sum: Duration = recent.iter().map(|r| r.inter_token).sum();
        (sum / recent.len() as u32, sim.responses.len())
    };
    let (adaptive, responses) = run(Sim::new(Adaptive::default(), &candidates, 5));
    let (least, least_responses) = run(Sim::new(LeastOutstanding::default(), &candidates, 5));
    println!(
        "limit: mean inter-token time {adaptive:?} with {responses} responses, least {least:?} with \
         {least_responses} responses"
    );
    assert!(adaptive <= TARGET);
    assert!(least > TARGET, "the baseline shows no overload");
}

/// Even if all endpoints fail, most of them keep taking requests.
#[test]
fn most_endpoints_stay_when_all_fail() {
    let mut sim = sim_with_nine(Adaptive::default(), 6);
    for index in 0..9 {
        sim.engine(index).crashed = true;
    }
    sim.run(SECOND, 20.0, &requirements(0, true));
    assert!(sim.picker.slots() >= 6 * 8);
}

/// Requests start and end at random. Non-idempotent requests never run on cheap endpoints, no
/// endpoint exceeds its slots, low tiers leave a steady slot free for each high-tier request on a
/// cheap endpoint, and idempotent high-tier requests wait only while no slot is free at all.
#[test]
fn cheap_endpoints_never_put_requests_at_risk() {
    fn property(ops: Vec<(u8, bool, bool)>) -> bool {
        let candidates: Vec<_> = (0..6).map(|i| candidate(i, i >= 3, 4)).collect();
        let mut picker = Adaptive::default();
        let now = Instant::from_nanos(1);
        picker.set_candidates(now, &candidates);
        let mut running: Vec<(usize, u8)> = Vec::new();
        ops.into_iter().all(|(draw, idempotent, ends)| {
            if ends && !running.is_empty() {
                let (at, tier) = running.swap_remove(draw as usize % running.len());
                picker.release(now, &id(at), types::Tier(tier), RequestOutcome::Completed);
                return true;
            }
            let tier = draw % 4;
            let on = |cheap: bool, high: bool| {
                let running = running
                    .iter()
                    .filter(|(at, tier)| (*at >= 3) == cheap && (*tier < 2 || !high));
                running.count()
            };
            let (free, displaced) = (12 - on(false, false), on(true, true));
            let Some(candidate) = picker.pick(now, &requirements(tier, idempotent)) else {
                return idempotent && tier >= 2 && on(true, false) == 12 && free <= displaced
                    || !idempotent && (free == 0 || tier >= 2 && free <= displaced)
                    || idempotent && tier < 2 && free == 0 && on(true, false) == 12;
            };
            let at = candidates
                .iter()
                .position(|c| c.id == candidate.id)
                .unwrap();
            running.push((at, tier));
            let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
            running
                .iter()
                .for_each(|(at, _)| *counts.entry(*at).or_default() += 1);
            let safe = !candidate.cheap || idempotent;
            let keeps_headroom = candidate.cheap || tier < 2 || displaced < free;
            safe && keeps_headroom && counts.values().all(|n| *n <= 4)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, bool, bool)>) -> bool);
}

/// Low tiers fill cheap endpoints first, high tiers steady ones.
#[test]
fn low_tiers_prefer_cheap_and_high_tiers_steady_endpoints() {
    let candidates = [candidate(0, false, 8), candidate(1, true, 8)];
    let mut picker = Adaptive::default();
    let now = Instant::from_nanos(1);
    picker.set_candidates(now, &candidates);
    for _ in 0..8 {
        assert_eq!(picker.pick(now, &requirements(3, true)).unwrap().id, id(1));
    }
    for _ in 0..8 {
        assert_eq!(picker.pick(now, &requirements(0, true)).unwrap().id, id(0));
    }
}

/// Requests with the same prefix go to one endpoint until its load exceeds the affinity bound.
#[test]
fn prefix_affinity_ends_when_the_endpoint_is_loaded() {
    let candidates: Vec<_> = (0..4).map(|i| candidate(i, false, 8)).collect();
    let mut picker = Adaptive::default();
    let now = Instant::from_nanos(1);
    picker.set_candidates(now, &candidates);
    let mut request = requirements(0, true);
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

/// A fresh load report of other requests diverts new ones; an old report no longer does.
#[test]
fn load_reports_divert_requests_until_they_expire() {
    let candidates = [candidate(0, false, 8), candidate(1, false, 8)];
    let mut picker = Adaptive::default();
    let now = Instant::from_nanos(1_000_000_000);
    picker.set_candidates(now, &candidates);
    let report = LoadReport {
        running: 4,
        waiting: 0,
    };
    picker.report_load(now, &id(0), report);
    for _ in 0..4 {
        assert_eq!(picker.pick(now, &requirements(0, true)).unwrap().id, id(1));
    }
    let later = now + 6 * SECOND;
    assert_eq!(
        picker.pick(later, &requirements(0, true)).unwrap().id,
        id(0)
    );
}
