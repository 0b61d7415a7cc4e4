//! When a second attempt is sent beside one that has given no token yet.

use {
    super::{AttemptBudget, Requirements},
    std::time::Duration,
    types::Tier,
};

/// Hedges for each request that could be hedged.
pub const HEDGE_RATIO: f64 = 0.02;
/// Hedges that may be saved up.
pub const HEDGE_BURST: f64 = 10.0;
/// Lowest tier whose requests are hedged.
const LOWEST_TIER: Tier = Tier(0);
/// Wait before a hedge, in mean times to the first token.
const PATIENCE: f64 = 3.0;
/// Wait before a hedge at least.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Weight of one sample of the time to the first token.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Decides on hedges of one model: only idempotent requests of the highest tier, within a budget.
#[derive(Debug, Clone)]
pub struct Hedger {
    budget: AttemptBudget,
    /// Mean time to the first token, in seconds.
    first: Option<f64>,
}

impl Default for Hedger {
    fn default() -> Self {
        Self {
            budget: AttemptBudget::new(HEDGE_RATIO, HEDGE_BURST),
            first: None,
        }
    }
}

impl Hedger {
    /// Takes in the time that a first token took.
    pub fn first_token(&mut self, after: Duration) {
        let sample = after.as_secs_f64();
        let mean = self.first.get_or_insert(sample);
        *mean += SAMPLE_WEIGHT * (sample - *mean);
        self.budget.deposit();
    }

    /// After which wait for the first token a request is hedged, if at all.
    pub fn hedge_delay(&self, need: &Requirements) -> Option<Duration> {
        if !need.idempotent || LOWEST_TIER.outranks(need.tier) {
            return None;
        }
        let mean = Duration::from_secs_f64(self.first?);
        Some(mean.mul_f64(PATIENCE).max(MIN_WAIT))
    }

    /// Takes a hedge out of the budget for a request that waited `waited` for its first token.
    pub fn try_hedge(&mut self, need: &Requirements, waited: Duration) -> bool {
        self.hedge_delay(need).is_some_and(|p| waited >= p) && self.budget.try_withdraw()
    }
}
