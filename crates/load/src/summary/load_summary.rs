//! Sums up samples.

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

/// Figures of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassStats {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within the targets.
    pub attained: u64,
    /// Refusals that state `not_run`.
    pub not_run: u64,
    /// Refusals that state anything else.
    pub may_have_run: u64,
    /// Cut answers.
    pub cut: u64,
    /// Wrong answers, and requests without any.
    pub wrong: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// First token at the 50th, 95th and 99th percentile, in milliseconds.
    pub first_ms: [f64; 3],
    /// Mean time between tokens at the 50th, 95th and 99th percentile, in milliseconds.
    pub between_ms: [f64; 3],
}

/// Figures of one organisation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrgStats {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers within the targets.
    pub attained: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
}

/// Figures of a load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadSummary {
    /// By class.
    pub classes: BTreeMap<ClassId, ClassStats>,
    /// By organisation.
    pub orgs: BTreeMap<OrgId, OrgStats>,
    /// Refusals by reason.
    pub reasons: BTreeMap<CompactString, u64>,
}

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits of latencies.
const DIGITS: u8 = 3;

struct Latencies {
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("constant bounds are valid")
        };
        Self {
            first: histogram(),
            between: histogram(),
        }
    }

    fn add(&mut self, sample: &Sample) {
        if let Some(first) = sample.first_token {
            self.first.saturating_record(micros(first));
        }
        if let Some(between) = sample.inter_token {
            self.between.saturating_record(micros(between));
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}

impl LoadSummary {
    /// Sums up the samples of a plan.
    pub fn from_samples(plan: &LoadPlan, samples: &[Sample]) -> Self {
        let mut report = Self::default();
        let mut latencies: BTreeMap<ClassId, Latencies> = BTreeMap::new();
        for sample in samples {
            let flow = &plan.flows[sample.flow];
            report.add(flow, sample);
            if sample.outcome == Outcome::Complete {
                let entry = latencies.entry(flow.class.clone());
                entry.or_insert_with(Latencies::new).add(sample);
            }
        }
        for (class, latency) in latencies {
            let row = report.classes.entry(class).or_default();
            row.first_ms = percentiles(&latency.first);
            row.between_ms = percentiles(&latency.between);
        }
        report
    }

    fn add(&mut self, flow: &Flow, sample: &Sample) {
        let row = self.classes.entry(flow.class.clone()).or_default();
        let org = self.orgs.entry(flow.org.clone()).or_default();
        row.sent += 1;
        org.sent += 1;
        match &sample.outcome {
            Outcome::Complete => {
                row.whole += 1;
                row.tokens += sample.tokens;
                org.tokens += sample.tokens;
                if sample.meets_targets(flow) {
                    row.attained += 1;
                    org.attained += 1;
                }
            }
            Outcome::Refused { verdict, code, .. } => {
                match verdict {
                    Some(Verdict::NotRun) => row.not_run += 1,
                    Some(Verdict::MayHaveRun | Verdict::Ran) | None => row.may_have_run += 1,
                }
                *self.reasons.entry(code.clone()).or_default() += 1;
            }
            Outcome::Truncated => row.cut += 1,
            Outcome::Incorrect(_) | Outcome::NoResponse => row.wrong += 1,
        }
    }

    /// Wrong answers, cut answers and missing answers of all classes.
    pub fn failed(&self) -> u64 {
        self.classes.values().map(|c| c.wrong + c.cut).sum()
    }
}
