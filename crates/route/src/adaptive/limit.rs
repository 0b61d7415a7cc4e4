//! Concurrency limit of an endpoint, adapted to its inter-token time.

use {clock::Instant, std::time::Duration};

/// Minimum time between two adjustments of a limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(250);
/// Multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Additive increase, in requests.
const INCREASE_STEP: f64 = 1.0;
/// Share of the target below which the limit is raised even if the requests do not fill it.
const RELAXED_SHARE: f64 = 0.75;
/// How long the tightest target among an endpoint's requests applies.
const TARGET_LIFETIME: Duration = Duration::from_secs(5);

/// Concurrency limit by additive increase and multiplicative decrease (AIMD) against a target.
#[derive(Debug, Clone, Default)]
pub(super) struct Limit {
    /// Current limit, if it is below the configured slots.
    lowered: Option<f64>,
    last_adjusted: Instant,
    target: Option<Duration>,
    target_set: Instant,
    tokens: f64,
    seconds: f64,
}

impl Limit {
    /// Current limit of an endpoint with `slots` configured slots.
    pub(super) fn get(&self, slots: u32) -> u32 {
        match self.lowered {
            Some(limit) => (limit as u32).clamp(1, slots.max(1)),
            None => slots,
        }
    }

    /// Takes in the inter-token target of a request sent to the endpoint.
    pub(super) fn set_target(&mut self, now: Instant, target: Duration) {
        let stale = now.since(self.target_set) > TARGET_LIFETIME;
        if stale || self.target.is_none_or(|t| target <= t) {
            self.target = Some(target);
            self.target_set = now;
        }
    }

    /// Records `tokens` generated in `span` and adjusts the limit. `size` holds the requests in
    /// flight and the configured slots.
    pub(super) fn record_progress(
        &mut self,
        now: Instant,
        tokens: u64,
        span: Duration,
        size: (u32, u32),
    ) {
        self.tokens += tokens as f64;
        self.seconds += span.as_secs_f64();
        if now.since(self.last_adjusted) < ADJUST_INTERVAL {
            return;
        }
        let inter_token = self.seconds / self.tokens.max(1.0);
        (self.tokens, self.seconds, self.last_adjusted) = (0.0, 0.0, now);
        let Some(target) = self.target else {
            return;
        };
        let (in_flight, slots) = size;
        let limit = f64::from(self.get(slots));
        if inter_token > target.as_secs_f64() {
            let used = limit.min(f64::from(in_flight.max(1)));
            self.lowered = Some((used * DECREASE_FACTOR).max(1.0));
        } else if let Some(lowered) = self.lowered
            && (f64::from(in_flight) + INCREASE_STEP >= lowered
                || inter_token < RELAXED_SHARE * target.as_secs_f64())
        {
            let raised = lowered + INCREASE_STEP;
            self.lowered = (raised < f64::from(slots)).then_some(raised);
        }
    }
}
