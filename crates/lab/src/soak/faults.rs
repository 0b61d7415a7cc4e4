//! Generates a random schedule of faults from a seed.

use {
    crate::pair::{Fault, FaultAction},
    fastrand::Rng,
};

/// The first fault starts after this fraction of the load.
const START_FRACTION: f64 = 0.1;
/// All faults have ended by this fraction of the load.
const END_FRACTION: f64 = 0.85;
/// Range of a fault's duration, in seconds.
const DURATION_S: [f64; 2] = [0.5, 2.5];
/// Range of the interval between the starts of two faults, in seconds.
const INTERVAL_S: [f64; 2] = [0.7, 2.0];
const SLOW_FACTOR: f64 = 5.0;
const SLOW_PLATFORM_MS: u64 = 400;
/// Exclusive bound of random indexes, larger than any number of processes. An index is taken modulo
/// the number of processes.
const INDEX_RANGE: usize = 1_000;

fn uniform(rng: &mut Rng, [low, high]: [f64; 2]) -> f64 {
    low + rng.f64() * (high - low)
}

/// Picks a random fault: the action that starts it, and the one that ends it unless it ends by
/// itself.
fn random_action(rng: &mut Rng) -> (FaultAction, Option<FaultAction>) {
    let index = rng.usize(..INDEX_RANGE);
    match rng.u32(..9) {
        0 => (
            FaultAction::Slow(index, SLOW_FACTOR),
            Some(FaultAction::Slow(index, 1.0)),
        ),
        1 => (
            FaultAction::Crash(index, true),
            Some(FaultAction::Crash(index, false)),
        ),
        2 => (
            FaultAction::Hang(index, true),
            Some(FaultAction::Hang(index, false)),
        ),
        3 => (
            FaultAction::PlatformDown(true),
            Some(FaultAction::PlatformDown(false)),
        ),
        4 => (
            FaultAction::PlatformSlow(SLOW_PLATFORM_MS),
            Some(FaultAction::PlatformSlow(0)),
        ),
        5 => (FaultAction::LoseResponse(index), None),
        6 => (FaultAction::RestartEntry(index), None),
        7 => (
            FaultAction::PauseEntry(index, true),
            Some(FaultAction::PauseEntry(index, false)),
        ),
        _ => (FaultAction::RestartSteward(index), None),
    }
}

/// Faults during a load of `seconds`, in order of time. Every fault ends before the load does.
/// Faults may overlap, except that no entry is stopped or suspended while another fault has one
/// suspended: a suspended process cannot stop.
pub(super) fn random_faults(seed: u64, seconds: f64) -> Vec<Fault> {
    let mut rng = Rng::with_seed(seed);
    let mut faults = Vec::new();
    let (mut at_s, mut resumed_s) = (START_FRACTION * seconds, 0.0);
    while at_s < END_FRACTION * seconds {
        let (action, end) = random_action(&mut rng);
        let until_s = (at_s + uniform(&mut rng, DURATION_S)).min(END_FRACTION * seconds);
        let suspends_entry = matches!(action, FaultAction::PauseEntry(..));
        let stops_entry = matches!(action, FaultAction::RestartEntry(_)) || suspends_entry;
        if !stops_entry || at_s >= resumed_s {
            faults.push(Fault { at_s, action });
            faults.extend(end.map(|action| Fault {
                at_s: until_s,
                action,
            }));
            resumed_s = if suspends_entry { until_s } else { resumed_s };
        }
        at_s += uniform(&mut rng, INTERVAL_S);
    }
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    faults
}
