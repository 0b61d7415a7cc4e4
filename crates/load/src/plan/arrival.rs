//! Arrivals: when each request is sent, decided before the load starts.

use {
    super::{Flow, LengthDistribution, LoadPlan, RequestKind},
    fastrand::Rng,
    std::{f64::consts::TAU, time::Duration},
};

/// One request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When, from the start.
    pub at: Duration,
    /// Index of its flow.
    pub flow: usize,
    /// Length of the answer, in tokens; 0 for plain services.
    pub tokens: u64,
    /// Which prompt start it has.
    pub prefix: u64,
    /// Unique number, from the seed.
    pub serial: u64,
}

impl LoadPlan {
    /// All arrivals in order of time. The same plan makes the same arrivals.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (index, flow) in self.flows.iter().enumerate() {
            let mut rng = Rng::with_seed(self.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9));
            flow_arrivals(self, flow, index, &mut rng, &mut all);
        }
        all.sort_by_key(|a| a.at);
        all
    }
}

fn flow_arrivals(
    plan: &LoadPlan,
    flow: &Flow,
    index: usize,
    rng: &mut Rng,
    all: &mut Vec<Arrival>,
) {
    if flow.rate <= 0.0 {
        return;
    }
    let end = flow.until_s.unwrap_or(plan.seconds).min(plan.seconds);
    let mut at = flow.from_s + gap(rng, flow.rate);
    while at < end {
        let (tokens, prefix) = match &flow.work {
            RequestKind::Chat {
                lengths, prefixes, ..
            } => (length(rng, lengths), rng.u64(..(*prefixes).max(1))),
            RequestKind::Get { .. } | RequestKind::Post { .. } => (0, 0),
        };
        let serial = rng.u64(..);
        all.push(Arrival {
            at: Duration::from_secs_f64(at),
            flow: index,
            tokens,
            prefix,
            serial,
        });
        at += gap(rng, flow.rate);
    }
}

/// Time to the next arrival of a Poisson process.
fn gap(rng: &mut Rng, rate: f64) -> f64 {
    -(1.0 - rng.f64()).ln() / rate
}

fn length(rng: &mut Rng, lengths: &LengthDistribution) -> u64 {
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (TAU * rng.f64()).cos();
    let tokens = lengths.median * (lengths.spread * normal).exp();
    (tokens.round() as u64).clamp(1, lengths.longest)
}
