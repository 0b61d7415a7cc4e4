//! Properties of usage windows under random interleavings of two sealers, two entries and faults.

mod world;

use {
    async_io::block_on,
    quickcheck::{Gen, QuickCheck, TestResult},
    std::time::Duration,
    world::{Simulation, locked},
};

const SEED: u64 = 6;
const CASES: u64 = 3_000;
const OPS: usize = 200;

fn invariants_hold(ops: Vec<u8>) -> TestResult {
    let mut simulation = Simulation::new();
    for op in &ops {
        simulation.step(*op);
    }
    simulation.settle();
    match simulation.violation() {
        None => TestResult::passed(),
        Some(violation) => TestResult::error(violation),
    }
}

/// Under any faults, all reports of a window have the same figures, reports are sent only under the
/// lease, and every count is in exactly one window unless an entry crashed.
#[test]
fn every_count_is_reported_once_with_the_same_figures() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(OPS, SEED))
        .tests(CASES)
        .quickcheck(invariants_hold as fn(Vec<u8>) -> TestResult);
}

/// The crash of an entry loses only the counts since the last collection.
#[test]
fn a_crash_loses_only_uncollected_counts() {
    let mut simulation = Simulation::new();
    (0..5).for_each(|_| simulation.count(0, 0));
    block_on(simulation.sealers[0].run_round());
    (0..2).for_each(|_| simulation.count(0, 0));
    simulation.crash_entry(0);
    simulation.count(0, 0);
    simulation.settle();
    let world = locked(&simulation.world);
    let lines = world.reports.iter().flat_map(|r| &r.lines);
    assert_eq!(lines.map(|l| l.requests).sum::<u64>(), 6);
}

/// Counts of a window that is already sealed are reported with a later window, marked as late.
#[test]
fn counts_of_a_sealed_window_are_reported_late() {
    let mut simulation = Simulation::new();
    simulation.count(0, 0);
    simulation.count(1, 0);
    block_on(simulation.sealers[0].run_round());
    simulation.count(1, 0);
    locked(&simulation.world).unreachable[1] = true;
    simulation.clock.advance(Duration::from_secs(2));
    block_on(simulation.sealers[0].run_round());
    simulation.settle();
    let world = locked(&simulation.world);
    let flags: Vec<(u64, bool)> = world
        .reports
        .iter()
        .flat_map(|r| r.lines.iter().map(|l| (l.requests, l.late)))
        .collect();
    assert_eq!(flags, [(2, false), (1, true)]);
}

/// An entry that was unreachable for more than a day, longer than watermarks of unlisted VMs are
/// kept, offers chunks that are already sealed. They must not count again.
#[test]
fn chunks_of_a_long_unreachable_entry_count_once() {
    let mut simulation = Simulation::new();
    simulation.count(1, 0);
    block_on(simulation.sealers[0].run_round());
    locked(&simulation.world).unreachable[1] = true;
    simulation.clock.advance(Duration::from_secs(2));
    block_on(simulation.sealers[0].run_round());
    for _ in 0..2 {
        simulation.clock.advance(Duration::from_secs(25 * 3600));
        simulation.count(0, 1);
        block_on(simulation.sealers[0].run_round());
    }
    simulation.sealers[0] = simulation.sealer(0);
    simulation.settle();
    assert_eq!(simulation.violation(), None);
}
