//! Aggregates samples into statistics.

use {
    crate::{
        drive::{Outcome, Sample},
        plan::{Flow, LoadPlan},
    },
    compact_str::CompactString,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
    types::{ClassId, OrgId, Verdict},
};

/// Statistics of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassStats {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses.
    pub whole: u64,
    /// Complete responses within the targets.
    pub attained: u64,
    /// Refusals with the verdict `not_run`.
    pub not_run: u64,
    /// Refusals with any other verdict or none.
    pub may_have_run: u64,
    /// Truncated responses.
    pub cut: u64,
    /// Incorrect responses, and requests without a response.
    pub wrong: u64,
    /// Tokens of complete responses.
    pub tokens: u64,
    /// Time to the first token at the 50th, 95th and 99th percentile, in milliseconds.
    pub first_ms: [f64; 3],
    /// Mean time between tokens at the 50th, 95th and 99th percentile, in milliseconds.
    pub between_ms: [f64; 3],
}

/// Statistics of one organisation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrgStats {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses within the targets.
    pub attained: u64,
    /// Tokens of complete responses.
    pub tokens: u64,
}

/// Statistics of a load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadSummary {
    /// Statistics by class.
    pub classes: BTreeMap<ClassId, ClassStats>,
    /// Statistics by organisation.
    pub orgs: BTreeMap<OrgId, OrgStats>,
    /// Number of refusals by error code.
    pub reasons: BTreeMap<CompactString, u64>,
}

/// Largest latency that the histograms represent, in microseconds; longer ones count as this.
const MAX_MICROS: u64 = 600_000_000;
/// Precision of the latency histograms, in significant decimal digits.
const DIGITS: u8 = 3;

struct Latencies {
    first_token: Histogram<u64>,
    inter_token: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("constant bounds are valid")
        };
        Self {
            first_token: histogram(),
            inter_token: histogram(),
        }
    }

    fn add_sample(&mut self, sample: &Sample) {
        if let Some(first_token) = sample.first_token {
            self.first_token
                .saturating_record(saturating_micros(first_token));
        }
        if let Some(inter_token) = sample.inter_token {
            self.inter_token
                .saturating_record(saturating_micros(inter_token));
        }
    }
}

fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}

impl LoadSummary {
    /// Aggregates the samples of a plan. Latencies cover complete responses only.
    pub fn from_samples(plan: &LoadPlan, samples: &[Sample]) -> Self {
        let mut summary = Self::default();
        let mut latencies: BTreeMap<ClassId, Latencies> = BTreeMap::new();
        for sample in samples {
            let flow = &plan.flows[sample.flow];
            summary.add_sample(flow, sample);
            if sample.outcome == Outcome::Complete {
                let class_latencies = latencies.entry(flow.class.clone());
                class_latencies
                    .or_insert_with(Latencies::new)
                    .add_sample(sample);
            }
        }
        for (class, latency) in latencies {
            let class = summary.classes.entry(class).or_default();
            class.first_ms = percentiles(&latency.first_token);
            class.between_ms = percentiles(&latency.inter_token);
        }
        summary
    }

    fn add_sample(&mut self, flow: &Flow, sample: &Sample) {
        let class = self.classes.entry(flow.class.clone()).or_default();
        let org = self.orgs.entry(flow.org.clone()).or_default();
        class.sent += 1;
        org.sent += 1;
        match &sample.outcome {
            Outcome::Complete => {
                class.whole += 1;
                class.tokens += sample.tokens;
                org.tokens += sample.tokens;
                if sample.meets_targets(flow) {
                    class.attained += 1;
                    org.attained += 1;
                }
            }
            Outcome::Refused { verdict, code, .. } => {
                match verdict {
                    Some(Verdict::NotRun) => class.not_run += 1,
                    Some(Verdict::MayHaveRun | Verdict::Ran) | None => class.may_have_run += 1,
                }
                *self.reasons.entry(code.clone()).or_default() += 1;
            }
            Outcome::Truncated => class.cut += 1,
            Outcome::Incorrect(_) | Outcome::NoResponse => class.wrong += 1,
        }
    }

    /// Number of incorrect, truncated and missing responses of all classes.
    pub fn failed(&self) -> u64 {
        self.classes.values().map(|c| c.wrong + c.cut).sum()
    }
}
