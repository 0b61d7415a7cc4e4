//! Properties of usage windows over random interleavings of two sealers, entries and faults.

mod world;

use {
    async_io::block_on,
    quickcheck::{Gen, QuickCheck, TestResult},
    std::time::Duration,
    world::{Run, locked},
};

const SEED: u64 = 6;
const CASES: u64 = 3_000;
const OPS: usize = 200;

fn keeps_promises(ops: Vec<u8>) -> TestResult {
    let mut run = Run::new();
    for op in &ops {
        run.step(*op);
    }
    run.settle();
    match run.fault() {
        None => TestResult::passed(),
        Some(fault) => TestResult::error(fault),
    }
}

/// Whatever happens, a window is reported with one figure, only under the lease, and every count is
/// in exactly one window unless an entry crashed.
#[test]
fn a_window_has_one_figure() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(OPS, SEED))
        .tests(CASES)
        .quickcheck(keeps_promises as fn(Vec<u8>) -> TestResult);
}

/// An entry's crash loses what was counted since the last collection, and nothing else.
#[test]
fn a_crash_loses_only_what_was_not_collected() {
    let mut run = Run::new();
    (0..5).for_each(|_| run.count(0, 0));
    block_on(run.sealers[0].tick());
    (0..2).for_each(|_| run.count(0, 0));
    run.crash_entry(0);
    run.count(0, 0);
    run.settle();
    let world = locked(&run.world);
    let lines = world.reports.iter().flat_map(|r| &r.lines);
    assert_eq!(lines.map(|l| l.requests).sum::<u64>(), 6);
}

/// Counts of a window that is sealed already go to a later one, marked as late.
#[test]
fn late_counts_are_marked() {
    let mut run = Run::new();
    run.count(0, 0);
    run.count(1, 0);
    block_on(run.sealers[0].tick());
    run.count(1, 0);
    locked(&run.world).cut[1] = true;
    run.clock.advance(Duration::from_secs(2));
    block_on(run.sealers[0].tick());
    run.settle();
    let world = locked(&run.world);
    let flags: Vec<(u64, bool)> = world
        .reports
        .iter()
        .flat_map(|r| r.lines.iter().map(|l| (l.requests, l.late)))
        .collect();
    assert_eq!(flags, [(2, false), (1, true)]);
}

/// An entry that was cut off for more than a day offers chunks that are sealed; they count once.
#[test]
fn a_long_cut_does_not_count_twice() {
    let mut run = Run::new();
    run.count(1, 0);
    block_on(run.sealers[0].tick());
    locked(&run.world).cut[1] = true;
    run.clock.advance(Duration::from_secs(2));
    block_on(run.sealers[0].tick());
    for _ in 0..2 {
        run.clock.advance(Duration::from_secs(25 * 3600));
        run.count(0, 1);
        block_on(run.sealers[0].tick());
    }
    run.sealers[0] = run.sealer(0);
    run.settle();
    assert_eq!(run.fault(), None);
}
