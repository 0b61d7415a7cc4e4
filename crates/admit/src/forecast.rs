//! Admission by predicted latency.
//!
//! Protects against more long prompts than the engines can prefill. Once the pending prompts take
//! as long as the latency target, every further request would be late, and would make all later
//! ones late as well. The queue is therefore kept about as long as the target, and excess requests
//! are refused at once with a time to retry. The request's own prompt does not count, so that large
//! requests are refused no more often than small ones.

use {std::time::Duration, types::Tier};

/// Queue delay above which a request is refused, relative to its target, by tier; the last entry
/// applies to all lower tiers. The highest tier may wait longer because engines serve it first.
const MAX_DELAY_FACTORS: [f64; 3] = [4.0, 0.8, 0.7];
/// Minimum time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum retry time, as a share of the time until the caller gives up.
const MAX_RETRY_SHARE: f64 = 0.33;
/// Range of the random factor on retry times, so that refused callers do not all return at once.
const RETRY_JITTER: f64 = 0.6;

/// Predicted latency of a request at its best endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Part of the predicted time that is spent waiting for other requests.
    pub queue_delay: Duration,
    /// Predicted time to the first token.
    pub predicted: Duration,
    /// Target for the time to the first token.
    pub target: Duration,
    /// Time until the caller gives up.
    pub remaining: Duration,
    /// Service tier.
    pub tier: Tier,
    /// Random number, uniform from 0 to 1, that spreads the retry times.
    pub jitter: f64,
}

/// Admits a request, or returns the time after which the caller may retry.
pub fn admit(forecast: &Forecast) -> Result<(), Duration> {
    let rank = usize::from(forecast.tier.0).min(MAX_DELAY_FACTORS.len() - 1);
    let limit = forecast.target.mul_f64(MAX_DELAY_FACTORS[rank]);
    if forecast.queue_delay <= limit && forecast.predicted < forecast.remaining {
        return Ok(());
    }
    let excess = forecast.queue_delay.saturating_sub(forecast.target / 2);
    let scale = 1.0 + RETRY_JITTER * (forecast.jitter - 0.5);
    let wait = excess.mul_f64(scale).max(MIN_RETRY_AFTER);
    Err(wait
        .min(forecast.remaining.mul_f64(MAX_RETRY_SHARE))
        .max(MIN_RETRY_AFTER))
}
