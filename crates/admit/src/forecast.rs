//! Refusal by forecast.
//!
//! Answers this load: long prompts beyond what the engines read. Once the prompts that wait fill the
//! target, every further request would be late, and late ones would make all later ones late too: the
//! queue is kept about as long as the target, and the rest is told at once when there will be room.
//! The forecast of the wait leaves the request's own prompt out, so that large requests are refused no
//! more often than small ones.

use {std::time::Duration, types::Tier};

/// Wait for other requests, in targets, from which a request is refused; by tier, the last one for all
/// lower tiers. The highest tier waits: engines serve it before the others.
const MOST_AHEAD: [f64; 3] = [4.0, 0.8, 0.7];
/// Shortest time that a refused caller is asked to stay away.
const RETRY_MIN: Duration = Duration::from_millis(250);
/// Part of the remaining time that callers stay away at most.
const RETRY_SHARE: f64 = 0.33;
/// Spread of the times to come back, so that refused callers do not return as one wave.
const RETRY_SPREAD: f64 = 0.6;

/// What is expected of a request at the endpoint that suits it best.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Time spent on other requests before its first token.
    pub queue_delay: Duration,
    /// Time to its first token.
    pub predicted: Duration,
    /// Time to the first token that is on time.
    pub target: Duration,
    /// Time until the caller leaves.
    pub remaining: Duration,
    /// Tier.
    pub tier: Tier,
    /// A number drawn evenly from 0 to 1, for the spread of returns.
    pub jitter: f64,
}

/// Lets a request in, or tells when it should come back.
pub fn admit(forecast: &Forecast) -> Result<(), Duration> {
    let rank = usize::from(forecast.tier.0).min(MOST_AHEAD.len() - 1);
    let most = forecast.target.mul_f64(MOST_AHEAD[rank]);
    if forecast.queue_delay <= most && forecast.predicted < forecast.remaining {
        return Ok(());
    }
    let room = forecast.queue_delay.saturating_sub(forecast.target / 2);
    let spread = 1.0 + RETRY_SPREAD * (forecast.jitter - 0.5);
    let wait = room.mul_f64(spread).max(RETRY_MIN);
    Err(wait
        .min(forecast.remaining.mul_f64(RETRY_SHARE))
        .max(RETRY_MIN))
}
