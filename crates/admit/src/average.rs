//! Running averages of measured values.

use {clock::Instant, std::time::Duration};

/// Weight of one sample once many were taken.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Time over which a rate is averaged.
const RATE_SPAN: Duration = Duration::from_secs(2);

/// Exponentially weighted mean of samples.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    /// Takes in a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    /// The mean, zero before the first sample.
    pub(crate) fn get(&self) -> f64 {
        self.value
    }
}

/// Exponentially weighted amount a second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    value: f64,
    at: Instant,
}

impl Rate {
    /// Counts `amount` now.
    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        self.value = self.get(now) + amount / RATE_SPAN.as_secs_f64();
        self.at = now;
    }

    /// The rate as of now.
    pub(crate) fn get(&self, now: Instant) -> f64 {
        let spans = now.since(self.at).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.value * (-spans).exp()
    }
}
