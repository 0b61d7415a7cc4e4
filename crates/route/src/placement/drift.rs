//! How much longer prompts take to read than forecast.
//!
//! Answers this load: caches that are empty, as at the start or after many engines were replaced,
//! while traffic is at its height. Forecasts that count on cached parts let in several times what
//! engines read, until all first tokens are late; measured against what came out, they refuse the
//! excess at once.

use {super::profile::EngineProfile, std::time::Duration};

/// Weight of the newest first token: a VM hears some ten a second, so that two seconds count.
const NEWEST: f64 = 0.06;
/// Bounds of the factor: prompts that were forecast as cached take up to about four times as long.
const LEAST: f64 = 0.8;
const MOST: f64 = 4.0;
/// Shortest reading time that tells anything: about the jitter of a step.
const TELLING_MS: f64 = 20.0;

/// Reading time that turned out, against forecasts.
#[derive(Debug, Clone)]
pub(super) struct Drift(f64);

impl Default for Drift {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Drift {
    /// Takes note of a first token that came after `took`, forecast with the present factor.
    pub(super) fn heard(&mut self, profile: &EngineProfile, expected: Duration, took: Duration) {
        let first = profile.idle_ttft.as_secs_f64() * 1e3;
        let forecast = expected.as_secs_f64() * 1e3 - first;
        if forecast < TELLING_MS {
            return;
        }
        let came = (took.as_secs_f64() * 1e3 - first).max(0.0);
        let ratio = (came / forecast).clamp(LEAST / MOST, MOST);
        self.0 = (self.0 * (1.0 + NEWEST * (ratio - 1.0))).clamp(LEAST, MOST);
    }

    /// The factor for reading times.
    pub(super) fn factor(&self) -> f64 {
        self.0
    }
}
