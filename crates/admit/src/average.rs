//! Moving averages of measured values.

use {clock::Instant, std::time::Duration};

/// Weight of a new sample once many were taken; the first ones weigh more.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// Time constant of the average of a rate.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Exponentially weighted moving average of samples.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    /// Current mean; zero before the first sample.
    pub(crate) fn get(&self) -> f64 {
        self.value
    }
}

/// Exponentially weighted amount per second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    value: f64,
    at: Instant,
}

impl Rate {
    /// Adds `amount` at the current time.
    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        self.value = self.get(now) + amount / RATE_WINDOW.as_secs_f64();
        self.at = now;
    }

    /// Current rate.
    pub(crate) fn get(&self, now: Instant) -> f64 {
        let windows = now.since(self.at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.value * (-windows).exp()
    }
}
