//! Retries and hedges stay within their share of the traffic.

use {
    quickcheck::{Gen, QuickCheck},
    route::{
        AttemptBudget, HEDGE_BURST, HEDGE_RATIO, Hedger, RETRY_BURST, RETRY_RATIO, Requirements,
    },
    std::time::Duration,
    types::Tier,
};

#[test]
fn extra_requests_keep_their_share() {
    fn property(ops: Vec<bool>) -> bool {
        let mut budget = AttemptBudget::new(RETRY_RATIO, RETRY_BURST);
        let (mut earned, mut taken) = (0.0, 0.0);
        ops.into_iter().all(|earns| {
            if earns {
                budget.deposit();
                earned += 1.0;
            } else {
                taken += f64::from(u8::from(budget.try_withdraw()));
            }
            taken <= RETRY_BURST + RETRY_RATIO * earned + 1e-6
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(500, 1))
        .tests(300)
        .quickcheck(property as fn(Vec<bool>) -> bool);
}

#[test]
fn an_outage_ends_retries() {
    let mut budget = AttemptBudget::new(RETRY_RATIO, RETRY_BURST);
    let granted = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(granted, RETRY_BURST as usize);
}

#[test]
fn only_idempotent_requests_of_the_top_tier_are_hedged() {
    let need = |tier, idempotent| Requirements {
        tier: Tier(tier),
        idempotent,
        prefix_hash: 0,
        inter_token: Duration::from_millis(20),
        avoid: Vec::new(),
    };
    let long = Duration::from_secs(5);
    let mut hedger = Hedger::default();
    assert!(
        !hedger.try_hedge(&need(0, true), long),
        "nothing was measured yet"
    );
    for _ in 0..1_000 {
        hedger.first_token(Duration::from_millis(100));
    }
    assert!(!hedger.try_hedge(&need(0, false), long));
    assert!(!hedger.try_hedge(&need(1, true), long));
    assert!(!hedger.try_hedge(&need(0, true), Duration::from_millis(200)));
    assert!(hedger.try_hedge(&need(0, true), Duration::from_millis(301)));
    let granted = (0..1_000)
        .filter(|_| hedger.try_hedge(&need(0, true), long))
        .count();
    assert!(granted as f64 <= HEDGE_BURST + HEDGE_RATIO * 1_000.0);
}
