//! Max-min fair shares.

use {
    lab::{Arm, fair_shares, min_fair_ratio},
    quickcheck::{Gen, QuickCheck},
};

const EPSILON: f64 = 1e-6;

fn check(total: u16, demands: Vec<u16>) -> bool {
    let total = f64::from(total);
    let demands: Vec<f64> = demands.into_iter().map(f64::from).collect();
    let shares = fair_shares(total, &demands);
    let asked: f64 = demands.iter().sum();
    let given: f64 = shares.iter().sum();
    let all_given = (given - total.min(asked)).abs() < EPSILON;
    let within = shares.iter().zip(&demands).all(|(s, d)| *s <= d + EPSILON);
    let largest = shares.iter().copied().fold(0.0, f64::max);
    let even = shares
        .iter()
        .zip(&demands)
        .all(|(s, d)| *s >= largest - EPSILON || *s >= d - EPSILON);
    all_given && within && even
}

#[test]
fn shares_are_max_min_fair() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 11))
        .tests(500)
        .quickcheck(check as fn(u16, Vec<u16>) -> bool);
}

#[test]
fn worst_share_finds_the_one_that_was_crowded_out() {
    let worst = min_fair_ratio(&[90.0, 10.0], &[1000.0, 50.0]);
    assert!((worst - 0.2).abs() < EPSILON, "{worst}");
    assert!((min_fair_ratio(&[5.0, 5.0], &[5.0, 5.0]) - 1.0).abs() < EPSILON);
    assert!((min_fair_ratio(&[], &[]) - 1.0).abs() < EPSILON);
}

#[test]
fn arm_puts_policies_under_policy() {
    let arm: Arm = "a=queue:fifo,sharing:homes,picker:round_robin"
        .parse()
        .unwrap();
    assert_eq!(arm.name, "a");
    let lines = "policy:\n  queue: fifo\n  picker: round_robin\nsharing: homes\n";
    assert_eq!(arm.settings, lines);
    assert!("=queue:fifo".parse::<Arm>().is_err());
    assert!("a=queue".parse::<Arm>().is_err());
}
