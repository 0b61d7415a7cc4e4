//! Tests of max-min fair shares and of the parser of arms.

use {
    lab::{Arm, fair_shares, min_fair_ratio},
    quickcheck::{Gen, QuickCheck},
};

const EPSILON: f64 = 1e-6;

fn is_max_min_fair(total: u16, demands: Vec<u16>) -> bool {
    let total = f64::from(total);
    let demands: Vec<f64> = demands.into_iter().map(f64::from).collect();
    let shares = fair_shares(total, &demands);
    let total_demand: f64 = demands.iter().sum();
    let total_shares: f64 = shares.iter().sum();
    let all_distributed = (total_shares - total.min(total_demand)).abs() < EPSILON;
    let within_demand = shares.iter().zip(&demands).all(|(s, d)| *s <= d + EPSILON);
    let largest = shares.iter().copied().fold(0.0, f64::max);
    let evenly_split = shares
        .iter()
        .zip(&demands)
        .all(|(s, d)| *s >= largest - EPSILON || *s >= d - EPSILON);
    all_distributed && within_demand && evenly_split
}

#[test]
fn shares_are_max_min_fair() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 11))
        .tests(500)
        .quickcheck(is_max_min_fair as fn(u16, Vec<u16>) -> bool);
}

#[test]
fn min_fair_ratio_is_that_of_the_starved_organisation() {
    let worst = min_fair_ratio(&[90.0, 10.0], &[1000.0, 50.0]);
    assert!((worst - 0.2).abs() < EPSILON, "{worst}");
    assert!((min_fair_ratio(&[5.0, 5.0], &[5.0, 5.0]) - 1.0).abs() < EPSILON);
    assert!((min_fair_ratio(&[], &[]) - 1.0).abs() < EPSILON);
}

#[test]
fn arm_nests_queue_and_picker_under_policy() {
    let arm: Arm = "a=queue:fifo,sharing:homes,picker:round_robin"
        .parse()
        .unwrap();
    assert_eq!(arm.name, "a");
    let lines = "policy:\n  queue: fifo\n  picker: round_robin\nsharing: homes\n";
    assert_eq!(arm.settings, lines);
    assert!("=queue:fifo".parse::<Arm>().is_err());
    assert!("a=queue".parse::<Arm>().is_err());
}
