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

/// Predicted wait of the requests of one urgency at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueForecast {
    /// Time spent waiting for other requests.
    pub delay: Duration,
    /// Target for the time to the first token.
    pub target: Duration,
    /// Service tier.
    pub tier: Tier,
}

impl QueueForecast {
    /// Whether a further request would be refused.
    fn is_full(&self) -> bool {
        let rank = usize::from(self.tier.0).min(MAX_DELAY_FACTORS.len() - 1);
        self.delay > self.target.mul_f64(MAX_DELAY_FACTORS[rank])
    }

    /// Time until the queue is half as long as the target.
    fn excess(&self) -> Duration {
        self.delay.saturating_sub(self.target / 2)
    }
}

/// Predicted latency of a request at its best endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// The requests that are served before it, or with it.
    pub queue: QueueForecast,
    /// Predicted time to the first token.
    pub predicted: Duration,
    /// Time until the caller gives up.
    pub remaining: Duration,
    /// Random number, uniform from 0 to 1, that spreads the retry times.
    pub jitter: f64,
}

/// Admits a request, or returns the time after which the caller may retry. `more_urgent` are the
/// queues of more urgent requests at the same endpoint: while one of them is full, this request is
/// refused as well, so that urgent requests are never refused where less urgent ones are admitted.
pub fn admit(
    forecast: &Forecast,
    more_urgent: impl Iterator<Item = QueueForecast>,
) -> Result<(), Duration> {
    let own = [forecast.queue].into_iter();
    let full = own.chain(more_urgent).filter(QueueForecast::is_full);
    let excess = full.map(|queue| queue.excess()).max();
    if excess.is_none() && forecast.predicted < forecast.remaining {
        return Ok(());
    }
    let excess = excess.unwrap_or_default().max(forecast.queue.excess());
    let scale = 1.0 + RETRY_JITTER * (forecast.jitter - 0.5);
    let wait = excess.mul_f64(scale).max(MIN_RETRY_AFTER);
    Err(wait
        .min(forecast.remaining.mul_f64(MAX_RETRY_SHARE))
        .max(MIN_RETRY_AFTER))
}
