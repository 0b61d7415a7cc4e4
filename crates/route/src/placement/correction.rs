//! Correction of predicted prefill times by measured ones.
//!
//! Needed when caches are empty at peak traffic, as after a start or after many engines were
//! replaced. Predictions that assume cached parts then admit several times the load that the
//! engines can prefill, until every first token is late. Corrected by measurements, they shed the
//! excess at once.

use {super::profile::EngineProfile, std::time::Duration};

/// Weight of a new sample. A VM sees about ten first tokens a second, so the average spans about
/// two seconds.
const SAMPLE_WEIGHT: f64 = 0.06;
/// Bounds of the factor. Prompts predicted to be cached take up to about four times as long if they
/// are not.
const MIN_FACTOR: f64 = 0.8;
const MAX_FACTOR: f64 = 4.0;
/// Shortest predicted prefill time that is sampled; below it, the jitter of an engine step
/// dominates.
const MIN_SAMPLE_MS: f64 = 20.0;

/// Ratio of measured to predicted prefill times, as a moving average.
#[derive(Debug, Clone)]
pub(super) struct PrefillCorrection(f64);

impl Default for PrefillCorrection {
    fn default() -> Self {
        Self(1.0)
    }
}

impl PrefillCorrection {
    /// Records a first token that arrived after `took`. The prediction already includes the current
    /// factor.
    pub(super) fn record(&mut self, profile: &EngineProfile, predicted: Duration, took: Duration) {
        let idle_ttft = profile.idle_ttft.as_secs_f64() * 1e3;
        let forecast = predicted.as_secs_f64() * 1e3 - idle_ttft;
        if forecast < MIN_SAMPLE_MS {
            return;
        }
        let actual = (took.as_secs_f64() * 1e3 - idle_ttft).max(0.0);
        let ratio = (actual / forecast).clamp(MIN_FACTOR / MAX_FACTOR, MAX_FACTOR);
        self.0 = (self.0 * (1.0 + SAMPLE_WEIGHT * (ratio - 1.0))).clamp(MIN_FACTOR, MAX_FACTOR);
    }

    /// Factor to multiply predicted prefill times by.
    pub(super) fn factor(&self) -> f64 {
        self.0
    }
}
