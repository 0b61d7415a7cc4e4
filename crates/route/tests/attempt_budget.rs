//! Retries and hedges stay within their ratio of the traffic.

use {
    quickcheck::{Gen, QuickCheck},
    route::{
        AttemptBudget, HEDGE_BURST, HEDGE_RATIO, Hedger, RETRY_BURST, RETRY_RATIO, Requirements,
    },
    std::time::Duration,
    types::Tier,
};

#[test]
fn extra_attempts_never_exceed_ratio_and_burst() {
    fn property(ops: Vec<bool>) -> bool {
        let mut budget = AttemptBudget::new(RETRY_RATIO, RETRY_BURST);
        let (mut requests, mut taken) = (0.0, 0.0);
        ops.into_iter().all(|deposits| {
            if deposits {
                budget.deposit();
                requests += 1.0;
            } else {
                taken += f64::from(u8::from(budget.try_withdraw()));
            }
            taken <= RETRY_BURST + RETRY_RATIO * requests + 1e-6
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(500, 1))
        .tests(300)
        .quickcheck(property as fn(Vec<bool>) -> bool);
}

#[test]
fn outage_stops_retries_after_the_burst() {
    let mut budget = AttemptBudget::new(RETRY_RATIO, RETRY_BURST);
    let granted = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(granted, RETRY_BURST as usize);
}

#[test]
fn only_idempotent_requests_of_the_top_tier_are_hedged() {
    let requirements = |tier, idempotent| Requirements {
        tier: Tier(tier),
        idempotent,
        prefix_hash: 0,
        inter_token: Duration::from_millis(20),
        avoid: Vec::new(),
    };
    let long = Duration::from_secs(5);
    let mut hedger = Hedger::default();
    assert!(
        !hedger.try_hedge(&requirements(0, true), long),
        "hedged before any first token was measured"
    );
    for _ in 0..1_000 {
        hedger.record_first_token(Duration::from_millis(100));
    }
    assert!(!hedger.try_hedge(&requirements(0, false), long));
    assert!(!hedger.try_hedge(&requirements(1, true), long));
    assert!(!hedger.try_hedge(&requirements(0, true), Duration::from_millis(200)));
    assert!(hedger.try_hedge(&requirements(0, true), Duration::from_millis(301)));
    let granted = (0..1_000)
        .filter(|_| hedger.try_hedge(&requirements(0, true), long))
        .count();
    assert!(granted as f64 <= HEDGE_BURST + HEDGE_RATIO * 1_000.0);
}
