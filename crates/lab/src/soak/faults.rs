//! Random faults from a seed.

use {
    crate::pair::{Act, Fault},
    fastrand::Rng,
};

/// Faults begin after this share of the load's length.
const FIRST_SHARE: f64 = 0.1;
/// No fault begins or lasts beyond this share.
const LAST_SHARE: f64 = 0.85;
/// Range of a fault's length, in seconds.
const LENGTH_S: [f64; 2] = [0.5, 2.5];
/// Range of the time between the starts of two faults, in seconds.
const GAP_S: [f64; 2] = [0.7, 2.0];
const SLOW_FACTOR: f64 = 5.0;
const SLOW_PLATFORM_MS: u64 = 400;
/// Large enough that every index can be drawn; users of an index wrap it.
const ANY_INDEX: usize = 1_000;

fn between(rng: &mut Rng, [low, high]: [f64; 2]) -> f64 {
    low + rng.f64() * (high - low)
}

/// One kind of fault: how it begins, and how it ends when it does not end by itself.
fn draw(rng: &mut Rng) -> (Act, Option<Act>) {
    let index = rng.usize(..ANY_INDEX);
    match rng.u32(..9) {
        0 => (Act::Slow(index, SLOW_FACTOR), Some(Act::Slow(index, 1.0))),
        1 => (Act::Crash(index, true), Some(Act::Crash(index, false))),
        2 => (Act::Hang(index, true), Some(Act::Hang(index, false))),
        3 => (Act::PlatformDown(true), Some(Act::PlatformDown(false))),
        4 => (
            Act::PlatformSlow(SLOW_PLATFORM_MS),
            Some(Act::PlatformSlow(0)),
        ),
        5 => (Act::LoseAnswer(index), None),
        6 => (Act::RestartEntry(index), None),
        7 => (
            Act::PauseEntry(index, true),
            Some(Act::PauseEntry(index, false)),
        ),
        _ => (Act::RestartSteward(index), None),
    }
}

/// Faults over a load of `seconds`, in order of time. Every fault ends before the load does. Faults
/// overlap, but an entry is not stopped while one is frozen, since a frozen process cannot stop.
pub(super) fn random_faults(seed: u64, seconds: f64) -> Vec<Fault> {
    let mut rng = Rng::with_seed(seed);
    let mut faults = Vec::new();
    let (mut at, mut thawed) = (FIRST_SHARE * seconds, 0.0);
    while at < LAST_SHARE * seconds {
        let (act, end) = draw(&mut rng);
        let until = (at + between(&mut rng, LENGTH_S)).min(LAST_SHARE * seconds);
        let pauses = matches!(act, Act::PauseEntry(..));
        let clashes = matches!(act, Act::RestartEntry(_)) || pauses;
        if !clashes || at >= thawed {
            faults.push(Fault { at, act });
            faults.extend(end.map(|act| Fault { at: until, act }));
            thawed = if pauses { until } else { thawed };
        }
        at += between(&mut rng, GAP_S);
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    faults
}
