//! Properties of combined verdicts.

use {
    quickcheck::QuickCheck,
    types::{Attempts, Verdict},
};

fn verdict(n: u8) -> Verdict {
    match n % 3 {
        0 => Verdict::NotRun,
        1 => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    }
}

/// The combined verdict is `not_run` if and only if every attempt was `not_run`.
#[test]
fn not_run_needs_every_attempt_not_run() {
    fn holds(attempts: Vec<u8>) -> bool {
        let mut attempts_made = Attempts::default();
        for n in &attempts {
            attempts_made.record(verdict(*n));
        }
        let all = attempts.iter().all(|n| verdict(*n) == Verdict::NotRun);
        (attempts_made.verdict() == Verdict::NotRun) == all
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// Combination is associative, and never lowers a verdict.
#[test]
fn composition_is_associative_and_monotonic() {
    fn holds(a: u8, b: u8, c: u8) -> bool {
        let (a, b, c) = (verdict(a), verdict(b), verdict(c));
        let same = a.combine(b).combine(c) == a.combine(b.combine(c));
        same && a.combine(b) >= a && a.combine(b) >= b
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(holds as fn(u8, u8, u8) -> bool);
}

/// A non-idempotent request is retried only if it has not run.
#[test]
fn retries_of_non_idempotent_requests_need_not_run() {
    for n in 0..3 {
        let v = verdict(n);
        assert_eq!(v.allows_retry(false), v == Verdict::NotRun);
        assert!(v.allows_retry(true));
    }
}
