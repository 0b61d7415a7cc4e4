//! Retry budget over a sliding window.

use {
    clock::Instant,
    quickcheck::{Gen, QuickCheck},
    route::SlidingRetryBudget,
    std::time::Duration,
};

const SEED: u64 = 11;
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const RESERVE: f64 = 7.0;

/// Whether no window holds more retries than allowed. Each step is a pause in milliseconds and
/// whether a retry follows, or else a request.
fn bound_holds(steps: Vec<(u16, bool)>) -> bool {
    let mut budget = SlidingRetryBudget::new(RATIO, WINDOW, RESERVE);
    let mut now = Instant::from_nanos(1 << 40);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for (pause, is_retry) in steps {
        now = now + Duration::from_millis(u64::from(pause % 400));
        if !is_retry {
            budget.deposit(now);
            requests.push(now);
        } else if budget.try_withdraw(now) {
            retries.push(now);
        }
    }
    // Checking each window that ends with a retry covers all windows.
    retries.iter().enumerate().all(|(at, end)| {
        let within = |times: &[Instant]| {
            let inside = times
                .iter()
                .filter(|t| **t <= *end && end.since(**t) < WINDOW);
            inside.count() as f64
        };
        within(&retries[..=at]) <= RATIO * within(&requests) + RESERVE
    })
}

#[test]
fn no_window_holds_more_retries_than_the_bound() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(400)
        .quickcheck(bound_holds as fn(Vec<(u16, bool)>) -> bool);
}

#[test]
fn requests_earn_retries_until_they_leave_the_window() {
    let mut budget = SlidingRetryBudget::new(RATIO, WINDOW, 0.0);
    let mut now = Instant::from_nanos(1 << 40);
    assert!(!budget.try_withdraw(now));
    for _ in 0..100 {
        now = now + Duration::from_millis(20);
        budget.deposit(now);
    }
    now = now + Duration::from_millis(600);
    budget.deposit(now);
    let granted = (0..100).filter(|_| budget.try_withdraw(now)).count();
    assert!((10..=20).contains(&granted), "{granted}");
    now = now + WINDOW * 2;
    assert!(!budget.try_withdraw(now));
}
