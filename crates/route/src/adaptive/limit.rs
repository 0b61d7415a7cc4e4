//! How many requests an endpoint holds: adapted to its time between tokens.

use {clock::Instant, std::time::Duration};

/// Shortest time between two changes of a limit.
const PERIOD: Duration = Duration::from_millis(250);
/// Factor of a decrease.
const DECREASE: f64 = 0.8;
/// Step of an increase, in requests.
const INCREASE: f64 = 1.0;
/// Share of the target below which a limit is raised even when it is not reached.
const RELAXED: f64 = 0.75;
/// How long the tightest target of an endpoint's requests stays in force.
const TARGET_SPAN: Duration = Duration::from_secs(5);

/// Additive increase and multiplicative decrease against a target.
#[derive(Debug, Clone, Default)]
pub(super) struct Limit {
    /// The limit, once it was lowered.
    lowered: Option<f64>,
    changed: Instant,
    target: Option<Duration>,
    targeted: Instant,
    tokens: f64,
    seconds: f64,
}

impl Limit {
    /// The limit of an endpoint with at most `slots` requests.
    pub(super) fn get(&self, slots: u32) -> u32 {
        match self.lowered {
            Some(limit) => (limit as u32).clamp(1, slots.max(1)),
            None => slots,
        }
    }

    /// Notes the target of a request that is sent to the endpoint.
    pub(super) fn aim(&mut self, now: Instant, target: Duration) {
        let stale = now.since(self.targeted) > TARGET_SPAN;
        if stale || self.target.is_none_or(|t| target <= t) {
            self.target = Some(target);
            self.targeted = now;
        }
    }

    /// Takes in tokens that came in `span`, with `flying` requests at the endpoint.
    pub(super) fn progress(&mut self, now: Instant, tokens: u64, span: Duration, row: (u32, u32)) {
        self.tokens += tokens as f64;
        self.seconds += span.as_secs_f64();
        if now.since(self.changed) < PERIOD {
            return;
        }
        let between = self.seconds / self.tokens.max(1.0);
        (self.tokens, self.seconds, self.changed) = (0.0, 0.0, now);
        let Some(target) = self.target else {
            return;
        };
        let (flying, slots) = row;
        let limit = f64::from(self.get(slots));
        if between > target.as_secs_f64() {
            let held = limit.min(f64::from(flying.max(1)));
            self.lowered = Some((held * DECREASE).max(1.0));
        } else if let Some(lowered) = self.lowered
            && (f64::from(flying) + INCREASE >= lowered || between < RELAXED * target.as_secs_f64())
        {
            let raised = lowered + INCREASE;
            self.lowered = (raised < f64::from(slots)).then_some(raised);
        }
    }
}
