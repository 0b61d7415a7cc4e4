//! Hedging: a second attempt in parallel to one that has produced no token yet.

use {
    super::{AttemptBudget, Requirements},
    std::time::Duration,
    types::Tier,
};

/// Hedges earned per first token received.
pub const HEDGE_RATIO: f64 = 0.02;
/// Hedges that can accumulate.
pub const HEDGE_BURST: f64 = 10.0;
/// Lowest tier whose requests are hedged.
const LOWEST_HEDGED_TIER: Tier = Tier(0);
/// Delay before a hedge, as a multiple of the mean time to the first token.
const DELAY_FACTOR: f64 = 3.0;
/// Minimum delay before a hedge.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Weight of a new sample in the mean time to the first token.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Decides on hedges for one model. Only idempotent requests of the highest tier are hedged, within
/// a budget.
#[derive(Debug, Clone)]
pub struct Hedger {
    budget: AttemptBudget,
    /// Mean time to the first token, in seconds.
    mean_ttft: Option<f64>,
}

impl Default for Hedger {
    fn default() -> Self {
        Self {
            budget: AttemptBudget::new(HEDGE_RATIO, HEDGE_BURST),
            mean_ttft: None,
        }
    }
}

impl Hedger {
    /// Records the time to a first token, and earns budget.
    pub fn record_first_token(&mut self, after: Duration) {
        let sample = after.as_secs_f64();
        let mean = self.mean_ttft.get_or_insert(sample);
        *mean += SAMPLE_WEIGHT * (sample - *mean);
        self.budget.deposit();
    }

    /// Time without a first token after which the request is hedged; `None` if it is not.
    pub fn hedge_delay(&self, requirements: &Requirements) -> Option<Duration> {
        if !requirements.idempotent || LOWEST_HEDGED_TIER.outranks(requirements.tier) {
            return None;
        }
        let mean = Duration::from_secs_f64(self.mean_ttft?);
        Some(mean.mul_f64(DELAY_FACTOR).max(MIN_DELAY))
    }

    /// Whether to hedge a request that has waited `waited` for its first token; takes the hedge out
    /// of the budget.
    pub fn try_hedge(&mut self, requirements: &Requirements, waited: Duration) -> bool {
        self.hedge_delay(requirements)
            .is_some_and(|delay| waited >= delay)
            && self.budget.try_withdraw()
    }
}
