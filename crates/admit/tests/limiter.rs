//! Fleet-wide limits hold over eight processes within the stated error.

use {
    admit::{LimitKey, LimitKind, LimitShare, Limiter},
    clock::Instant,
    conf::Limits,
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
    types::{PerSecond, Tokens},
};

const PROCESSES: u32 = 8;
const MILLISECOND: Duration = Duration::from_millis(1);

fn key() -> LimitKey {
    LimitKey {
        org: "a".parse().unwrap(),
        class: "summary".parse().unwrap(),
        route: None,
    }
}

fn rate(rate: f64) -> PerSecond {
    PerSecond::try_from(rate).unwrap()
}

fn fleet(shares: impl Fn(u32) -> LimitShare) -> Vec<Limiter> {
    let limiter = |index| {
        let mut limiter = Limiter::default();
        limiter.set_share(shares(index));
        limiter
    };
    (0..PROCESSES).map(limiter).collect()
}

fn check<A: quickcheck::Testable>(seed: u64, property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(200)
        .quickcheck(property);
}

/// In any span of T seconds, at most `limit * T` requests plus one second's worth (at least one per
/// process) are admitted, however the arrivals are distributed over the processes.
#[test]
fn request_rate_stays_within_the_fleet_limit() {
    fn property(limit: u8, seed: u64) -> bool {
        let limit = f64::from(limit) + 1.0;
        let limits = Limits {
            requests: Some(rate(limit)),
            ..Limits::default()
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = fleet(|i| LimitShare::equal(PROCESSES, i));
        let mut admitted: Vec<u64> = Vec::new();
        for milli in 0..4_000u64 {
            let now = Instant::from_nanos(milli * 1_000_000);
            let at = rng.usize(..PROCESSES as usize);
            if fleet[at].admit(now, &key(), &limits).is_ok() {
                admitted.push(milli);
            }
        }
        let burst = limit.max(f64::from(PROCESSES));
        admitted.iter().enumerate().all(|(i, from)| {
            let span = |until: u64| (until - from) as f64 / 1000.0;
            let rest = admitted[i..].iter().enumerate();
            let mut rest = rest.map(|(n, until)| ((n + 1) as f64, span(*until)));
            rest.all(|(count, span)| count <= limit * span + burst + 1e-6)
        })
    }
    check(1, property as fn(u8, u64) -> bool);
}

/// Running requests never exceed the limit, or one per process if that is more.
#[test]
fn concurrency_stays_within_the_fleet_limit() {
    fn property(limit: u8, ops: Vec<(u8, bool)>) -> bool {
        let limits = Limits {
            concurrent: Some(u32::from(limit)),
            ..Limits::default()
        };
        let mut fleet = fleet(|i| LimitShare::equal(PROCESSES, i));
        let mut running = vec![0u32; PROCESSES as usize];
        ops.into_iter()
            .chain((0..200).map(|i| (i, false)))
            .all(|(at, ends)| {
                let at = usize::from(at) % PROCESSES as usize;
                if ends && running[at] > 0 {
                    fleet[at].release(&key());
                    running[at] -= 1;
                } else if fleet[at].admit(Instant::default(), &key(), &limits).is_ok() {
                    running[at] += 1;
                }
                let bound = if limit == 0 {
                    0
                } else {
                    u32::from(limit).max(PROCESSES)
                };
                running.iter().sum::<u32>() <= bound
            })
    }
    check(2, property as fn(u8, Vec<(u8, bool)>) -> bool);
}

/// Tokens are charged afterwards; the debt must be repaid before the next request is admitted.
#[test]
fn token_debt_is_repaid_before_the_next_request() {
    let limits = Limits {
        tokens: Some(rate(100.0)),
        ..Limits::default()
    };
    let mut limiter = Limiter::default();
    let start = Instant::from_nanos(1);
    assert!(limiter.admit(start, &key(), &limits).is_ok());
    limiter.charge_tokens(&key(), Tokens(600));
    let exceeded = limiter.admit(start, &key(), &limits).unwrap_err();
    assert_eq!(exceeded.kind, LimitKind::Tokens);
    assert_eq!(exceeded.retry_after, Duration::from_secs(5));
    assert!(
        limiter
            .admit(start + exceeded.retry_after - MILLISECOND, &key(), &limits)
            .is_err()
    );
    assert!(
        limiter
            .admit(start + exceeded.retry_after, &key(), &limits)
            .is_ok()
    );
}

/// A refused caller that retries after the reported time is admitted.
#[test]
fn retry_after_the_reported_time_is_admitted() {
    let limits = Limits {
        requests: Some(rate(8.0)),
        ..Limits::default()
    };
    let mut limiter = Limiter::default();
    limiter.set_share(LimitShare::equal(PROCESSES, 3));
    let start = Instant::from_nanos(1);
    assert!(limiter.admit(start, &key(), &limits).is_ok());
    let exceeded = limiter.admit(start, &key(), &limits).unwrap_err();
    assert!(
        limiter
            .admit(start + exceeded.retry_after, &key(), &limits)
            .is_ok()
    );
}

/// With all callers at one process, shares by demand give it nine tenths of the limit or more;
/// equal shares give it an eighth.
#[test]
fn shares_by_demand_follow_the_callers() {
    let limits = Limits {
        requests: Some(rate(80.0)),
        ..Limits::default()
    };
    let served = |share: LimitShare| {
        let mut limiter = Limiter::default();
        limiter.set_share(share);
        let arrivals = (0..10_000u64).map(|m| Instant::from_nanos(m * 1_000_000));
        arrivals
            .filter(|now| limiter.admit(*now, &key(), &limits).is_ok())
            .count() as f64
    };
    let equal = LimitShare::equal(PROCESSES, 0);
    let weighted = equal.by_demand(rate(1_000.0), rate(1_000.0));
    let (equal, weighted) = (served(equal), served(weighted));
    println!("all callers at one of 8 processes, limit 800: equal {equal}, by demand {weighted}");
    assert!(equal <= 800.0 / 8.0 + 10.0);
    assert!((0.9 * 800.0..=800.0 + 80.0).contains(&weighted));
}

/// Shares by demand add up to the whole limit.
#[test]
fn shares_by_demand_add_up_to_the_limit() {
    fn property(demands: Vec<u8>) -> bool {
        let demands: Vec<f64> = (0..PROCESSES as usize)
            .map(|i| f64::from(demands.get(i).copied().unwrap_or_default()))
            .collect();
        let limits = Limits {
            requests: Some(rate(800.0)),
            ..Limits::default()
        };
        let sum = demands.iter().sum();
        let admitted: usize = (0..PROCESSES)
            .map(|i| {
                let share = LimitShare::equal(PROCESSES, i);
                let share = share.by_demand(rate(demands[i as usize]), rate(sum));
                let mut limiter = Limiter::default();
                limiter.set_share(share);
                let now = Instant::from_nanos(1);
                (0..900)
                    .filter(|_| limiter.admit(now, &key(), &limits).is_ok())
                    .count()
            })
            .sum();
        (800 - PROCESSES as usize..=800).contains(&admitted)
    }
    check(3, property as fn(Vec<u8>) -> bool);
}
