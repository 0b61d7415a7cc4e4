//! Randomised walks with fixed seeds: VMs contend for the duty lease while machines, the log and
//! other releases fail, and the platform never sees two holders.
//!
//! `CELERY_WALK_SEEDS` sets the number of seeds, `CELERY_WALK_FIRST` the first one. A walk that
//! fails is repeated and prints the end of its trace.

mod duty_walk_sim;

use {
    duty_walk_sim::{Fleet, Simulation, Stats, Violation},
    std::{env, thread},
};

const SEEDS: u64 = 4_000;
const THREADS: u64 = 2;
const FAULTS_MS: u64 = 45_000;
const KILLS: u64 = 300;
/// Longest time without a holder after a kill: the lease, the jitter, and a poll before and after.
const REPLACEMENT_MS: u64 = 3_000 + 600 + 1_800 + 600;
const SHOWN_FAILURES: usize = 20;
const TRACE_LINES: usize = 60;

fn setting(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.map_or(default, |v| v.parse().unwrap())
}

fn fleet_of(seed: u64) -> Fleet {
    match seed % 4 {
        0 | 1 => Fleet::Current,
        2 => Fleet::OtherFormat,
        _ => Fleet::Earlier,
    }
}

fn walk(seed: u64) -> Simulation {
    Simulation::new(seed, fleet_of(seed))
}

/// Repeats a failed walk and describes it.
fn describe(seed: u64, violation: &Violation) -> String {
    let mut simulation = walk(seed).with_trace();
    let _ = simulation.run(FAULTS_MS);
    let trace = simulation.trace();
    let lines = setting("CELERY_WALK_LINES", TRACE_LINES as u64) as usize;
    let tail = &trace[trace.len().saturating_sub(lines)..];
    let fleet = fleet_of(seed);
    format!(
        "seed {seed}, {fleet:?}: {violation}\n{}\n{}",
        trace[0],
        tail.join("\n")
    )
}

fn add(total: &mut Stats, stats: Stats) {
    total.calls += stats.calls;
    total.handovers += stats.handovers;
    total.windows += stats.windows;
    total.faults += stats.faults;
    total.late_appends += stats.late_appends;
    total.recovery_ms = total.recovery_ms.max(stats.recovery_ms);
}

/// Runs every `THREADS`-th seed from `first` on.
fn run_part(first: u64, end: u64) -> (Stats, Vec<(u64, Violation)>) {
    let mut total = Stats::default();
    let mut failures = Vec::new();
    for seed in (first..end).step_by(THREADS as usize) {
        match walk(seed).run(FAULTS_MS) {
            Ok(stats) => add(&mut total, stats),
            Err(violation) => failures.push((seed, violation)),
        }
    }
    (total, failures)
}

#[test]
fn platform_sees_one_holder_under_all_faults() {
    let first = setting("CELERY_WALK_FIRST", 0);
    let end = first + setting("CELERY_WALK_SEEDS", SEEDS);
    let parts = (0..THREADS).map(|part| thread::spawn(move || run_part(first + part, end)));
    let parts: Vec<_> = parts.collect();
    let mut total = Stats::default();
    let mut failures = Vec::new();
    for part in parts {
        let (stats, failed) = part.join().unwrap();
        add(&mut total, stats);
        failures.extend(failed);
    }
    failures.sort_by_key(|(seed, _)| *seed);
    println!("seeds {first} to {}: {total:?}", end - 1);
    for (seed, violation) in failures.iter().take(SHOWN_FAILURES) {
        println!("seed {seed}: {violation}");
    }
    if let Some((seed, violation)) = failures.first() {
        panic!(
            "{} walks failed; {}",
            failures.len(),
            describe(*seed, violation)
        );
    }
    assert!(total.handovers > end - first, "{total:?}");
}

#[test]
fn platform_sees_two_holders_if_calls_are_sent_without_a_last_check() {
    let fails = |seed: &u64| walk(*seed).without_recheck().run(FAULTS_MS).is_err();
    let found = (0..SEEDS).find(fails);
    println!("seed {found:?}");
    assert!(found.is_some());
}

#[test]
fn another_vm_acts_soon_after_the_holder_was_killed() {
    let mut gaps: Vec<_> = (0..KILLS)
        .map(|seed| {
            let span = 10_000 + seed * 7;
            let gap = Simulation::without_faults(seed).kill_holder(span);
            gap.unwrap_or_else(|violation| panic!("seed {seed}: {violation}"))
        })
        .collect();
    gaps.sort_unstable();
    let (median, longest) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
    println!("without a holder for {median} ms (median), {longest} ms (longest)");
    assert!(longest <= REPLACEMENT_MS, "{longest} ms");
}

/// First seed whose walk fails without a guard.
fn first_failure(without: impl Fn(Simulation) -> Simulation) -> Option<(u64, Violation)> {
    (0..SEEDS).find_map(|seed| {
        let outcome = without(walk(seed)).run(FAULTS_MS);
        outcome.err().map(|violation| (seed, violation))
    })
}

#[test]
fn platform_sees_two_holders_if_the_rest_of_a_call_is_sent_without_a_check() {
    let found = first_failure(Simulation::without_part_check);
    println!("{found:?}");
    assert!(found.is_some());
}

#[test]
fn platform_sees_two_holders_if_systems_deliver_calls_without_a_limit() {
    let found = first_failure(Simulation::without_delivery_limit);
    println!("{found:?}");
    assert!(found.is_some());
}
