//! Long random exploration of the lease protocol with fixed seeds.

mod model;

use {
    coord::LeaseTiming,
    model::{Faults, Overlap, STEP_MS, World},
    std::time::Duration,
};

const WALKS: u64 = 400;
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

/// The product's times, with claims at the first moment that the protocol allows.
fn times() -> LeaseTiming {
    LeaseTiming {
        spread: Duration::ZERO,
        ..LeaseTiming::default()
    }
}

/// First overlap in all walks; counts how often the lease changed hands.
fn explore(times: LeaseTiming, faults: Faults) -> Result<usize, Overlap> {
    let mut changes = 0;
    for seed in 0..WALKS {
        let mut world = World::new(seed, times, faults);
        for _ in 0..STEPS {
            world.step()?;
        }
        changes += world.epochs;
    }
    Ok(changes)
}

#[test]
fn never_two_in_charge() {
    let changes = explore(times(), ALL_FAULTS).unwrap();
    println!("the lease changed hands {changes} times in {WALKS} walks");
    assert!(changes > 100);
}

#[test]
fn someone_is_in_charge_after_the_faults() {
    for seed in 0..WALKS / 4 {
        let mut world = World::new(seed, times(), ALL_FAULTS);
        for _ in 0..STEPS / 4 {
            world.step().unwrap();
        }
        world.set_faults(NO_FAULTS);
        for _ in 0..SETTLE_STEPS {
            world.step().unwrap();
        }
        assert!(world.held(), "seed {seed}: nobody is in charge");
    }
}

#[test]
fn the_drift_margin_is_needed() {
    let drift = LeaseTiming {
        drift: 0.0,
        ..times()
    };
    assert!(explore(drift, ALL_FAULTS).is_err());
}

#[test]
fn the_early_stop_is_needed() {
    let early = LeaseTiming {
        early: Duration::ZERO,
        ..times()
    };
    assert!(explore(early, ALL_FAULTS).is_err());
}

#[test]
fn waiting_out_the_longest_order_is_needed() {
    let flight = LeaseTiming {
        flight: Duration::ZERO,
        ..times()
    };
    assert!(explore(flight, ALL_FAULTS).is_err());
}
