//! Randomised simulations of the lease protocol with fixed seeds: at most one holder acts at a
//! time, whatever fails, and each margin of the protocol is needed for that.

mod model;

use {
    coord::LeaseTiming,
    model::{Faults, Overlap, STEP_MS, Simulation},
    std::time::Duration,
};

const RUNS: u64 = 400;
const STEPS: u64 = 120_000 / STEP_MS;
const SETTLE_STEPS: u64 = 60_000 / STEP_MS;

const NO_FAULTS: Faults = Faults {
    pause: 0,
    outage: 0,
    restart: 0,
    retain: 0,
    append: 0,
};
const ALL_FAULTS: Faults = Faults {
    pause: 400,
    outage: 3_000,
    restart: 3_000,
    retain: 2_000,
    append: 25,
};

/// The default durations without claim jitter, so that claims come as early as the protocol allows.
fn timing() -> LeaseTiming {
    LeaseTiming {
        spread: Duration::ZERO,
        ..LeaseTiming::default()
    }
}

/// Runs all simulations. Returns how often the lease changed hands, or the first overlap of two
/// holders.
fn run_all(timing: LeaseTiming, faults: Faults) -> Result<usize, Overlap> {
    let mut changes = 0;
    for seed in 0..RUNS {
        let mut simulation = Simulation::new(seed, timing, faults);
        for _ in 0..STEPS {
            simulation.step()?;
        }
        changes += simulation.handovers;
    }
    Ok(changes)
}

#[test]
fn at_most_one_holder_acts_under_all_faults() {
    let changes = run_all(timing(), ALL_FAULTS).unwrap();
    println!("the lease changed hands {changes} times in {RUNS} runs");
    assert!(changes > 100);
}

#[test]
fn the_lease_is_held_again_after_the_faults_end() {
    for seed in 0..RUNS / 4 {
        let mut simulation = Simulation::new(seed, timing(), ALL_FAULTS);
        for _ in 0..STEPS / 4 {
            simulation.step().unwrap();
        }
        simulation.set_faults(NO_FAULTS);
        for _ in 0..SETTLE_STEPS {
            simulation.step().unwrap();
        }
        assert!(simulation.is_held(), "seed {seed}: no node holds the lease");
    }
}

#[test]
fn holders_overlap_without_the_clock_drift_margin() {
    let no_drift = LeaseTiming {
        drift: 0.0,
        ..timing()
    };
    assert!(run_all(no_drift, ALL_FAULTS).is_err());
}

#[test]
fn holders_overlap_if_a_holder_acts_until_expiry() {
    let no_early = LeaseTiming {
        early: Duration::ZERO,
        ..timing()
    };
    assert!(run_all(no_early, ALL_FAULTS).is_err());
}

#[test]
fn holders_overlap_if_a_claim_ignores_writes_in_flight() {
    let no_flight = LeaseTiming {
        flight: Duration::ZERO,
        ..timing()
    };
    assert!(run_all(no_flight, ALL_FAULTS).is_err());
}
