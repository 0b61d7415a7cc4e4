//! Generates the arrivals of a plan before the load starts.

use {
    super::{Flow, LengthDistribution, LoadPlan, RequestKind},
    fastrand::Rng,
    std::{f64::consts::TAU, time::Duration},
};

/// One request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time from the start of the load.
    pub at: Duration,
    /// Index of the flow in the plan.
    pub flow: usize,
    /// Length of the response, in tokens; 0 for plain HTTP services.
    pub tokens: u64,
    /// Index of the prompt prefix.
    pub prefix: u64,
    /// Random number, derived from the seed, that identifies the request.
    pub serial: u64,
}

impl LoadPlan {
    /// All arrivals in order of time. Equal plans give equal arrivals.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (index, flow) in self.flows.iter().enumerate() {
            let mut rng = Rng::with_seed(self.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9));
            flow_arrivals(self, flow, index, &mut rng, &mut arrivals);
        }
        arrivals.sort_by_key(|a| a.at);
        arrivals
    }
}

fn flow_arrivals(
    plan: &LoadPlan,
    flow: &Flow,
    index: usize,
    rng: &mut Rng,
    arrivals: &mut Vec<Arrival>,
) {
    if flow.rate <= 0.0 {
        return;
    }
    let end = flow.until_s.unwrap_or(plan.seconds).min(plan.seconds);
    let mut at_s = flow.from_s + arrival_interval(rng, flow.rate);
    while at_s < end {
        let (tokens, prefix) = match &flow.work {
            RequestKind::Chat {
                lengths, prefixes, ..
            } => (response_length(rng, lengths), rng.u64(..(*prefixes).max(1))),
            RequestKind::Get { .. } | RequestKind::Post { .. } => (0, 0),
        };
        let serial = rng.u64(..);
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at_s),
            flow: index,
            tokens,
            prefix,
            serial,
        });
        at_s += arrival_interval(rng, flow.rate);
    }
}

/// Random interval between two arrivals of a Poisson process, in seconds.
fn arrival_interval(rng: &mut Rng, rate: f64) -> f64 {
    -(1.0 - rng.f64()).ln() / rate
}

fn response_length(rng: &mut Rng, lengths: &LengthDistribution) -> u64 {
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (TAU * rng.f64()).cos();
    let tokens = lengths.median * (lengths.spread * normal).exp();
    (tokens.round() as u64).clamp(1, lengths.longest)
}
