//! Slot occupancy times of requests, learned from completed ones. Time in the queue is excluded: a longer queue would
//! otherwise raise the demand and with it the refusals.

use {super::profile::EngineProfile, std::time::Duration, types::Urgency};

/// Smallest weight of a new sample: a change of the engines dominates the mean after some twenty requests.
const MIN_WEIGHT: f64 = 0.05;
/// Bounds of a sample relative to the mean, to limit the effect of outliers.
const MIN_SAMPLE: f64 = 0.25;
const MAX_SAMPLE: f64 = 4.0;

/// Mean milliseconds for each announced token, and the number of samples.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = sample;
            return;
        }
        let sample = sample.clamp(self.value * MIN_SAMPLE, self.value * MAX_SAMPLE);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        self.value += weight * (sample - self.value);
    }
}

/// Time for which a request holds a slot for each announced output token, by urgency.
#[derive(Debug, Clone, Default)]
pub(super) struct RunTimes {
    levels: [Mean; Urgency::LEVELS as usize],
    all: Mean,
}

impl RunTimes {
    /// Records a request that held a slot for `held`.
    pub(super) fn record(&mut self, urgency: Urgency, output: u64, held: Duration) {
        let sample = held.as_secs_f64() * 1e3 / output.max(1) as f64;
        self.levels[urgency.index()].record(sample);
        self.all.record(sample);
    }

    /// Expected milliseconds for which a request holds a slot.
    pub(super) fn expected_ms(
        &self,
        profile: &EngineProfile,
        urgency: Urgency,
        output: u64,
    ) -> f64 {
        let known = [self.levels[urgency.index()], self.all];
        let known = known.into_iter().find(|m| m.samples > 0);
        let per_token = known.map_or(profile.step_ms(0), |m| m.value);
        per_token * output as f64
    }
}
