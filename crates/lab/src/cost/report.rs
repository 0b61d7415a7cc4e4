//! Results of the proxy overhead measurement.

use {
    compact_str::CompactString,
    load::{Outcome, Sample},
    serde::Serialize,
    std::{fmt, time::Duration},
};

/// Overhead measured with one load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadCost {
    /// Name of the load.
    pub name: CompactString,
    /// Complete responses that came through the entry.
    pub answers: u64,
    /// Tokens in those responses.
    pub tokens: u64,
    /// CPU time of the entry, in microseconds.
    pub spent: u64,
    #[serde(skip)]
    via_entry: Vec<Duration>,
    #[serde(skip)]
    direct: Vec<Duration>,
}

/// Overhead measured with all loads.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CostReport {
    /// Results by load.
    pub loads: Vec<LoadCost>,
}

impl LoadCost {
    pub(super) fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            ..Self::default()
        }
    }

    /// Adds a round. `cpu_micros` is the entry's CPU time if the load went through the entry, and
    /// `None` if it went directly to the endpoints.
    pub(super) fn add(&mut self, samples: &[Sample], cpu_micros: Option<u64>) {
        let complete = samples.iter().filter(|s| s.outcome == Outcome::Complete);
        let latencies = complete.clone().filter_map(|s| s.first_token);
        match cpu_micros {
            Some(micros) => {
                self.via_entry.extend(latencies);
                self.answers += complete.clone().count() as u64;
                self.tokens += complete.map(|s| s.tokens).sum::<u64>();
                self.spent += micros;
            }
            None => self.direct.extend(latencies),
        }
    }

    /// CPU time of the entry per complete response, in microseconds.
    pub fn cpu_micros_per_response(&self) -> f64 {
        self.spent as f64 / self.answers.max(1) as f64
    }

    /// Quantile of the time to the first token, or to the complete response of a plain HTTP
    /// service, in milliseconds: through the entry, and directly.
    pub fn latency_ms(&self, quantile: f64) -> (f64, f64) {
        (
            quantile_ms(&self.via_entry, quantile),
            quantile_ms(&self.direct, quantile),
        )
    }
}

fn quantile_ms(times: &[Duration], quantile: f64) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len().saturating_sub(1) as f64 * quantile).round() as usize;
    sorted
        .get(index)
        .map_or(f64::NAN, |t| t.as_secs_f64() * 1000.0)
}

impl CostReport {
    /// CPU time of the entry per token, in microseconds: the additional time of long responses over
    /// short ones, divided by their additional tokens.
    pub fn cpu_micros_per_token(&self) -> Option<f64> {
        let [short, long, ..] = self.loads.as_slice() else {
            return None;
        };
        let tokens = |l: &LoadCost| l.tokens as f64 / l.answers.max(1) as f64;
        Some(
            (long.cpu_micros_per_response() - short.cpu_micros_per_response())
                / (tokens(long) - tokens(short)),
        )
    }
}

impl fmt::Display for CostReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>8} {:>8} {:>14} {:>28} {:>28}",
            "load", "answers", "tokens", "entry us each", "p50 ms: entry/direct/added", "p99"
        )?;
        for load in &self.loads {
            let [p50, p99] = [0.5, 0.99].map(|q| {
                let (via_entry, direct) = load.latency_ms(q);
                format!("{via_entry:.2}/{direct:.2}/{:+.2}", via_entry - direct)
            });
            writeln!(
                f,
                "{:<12} {:>8} {:>8} {:>14.0} {:>28} {:>28}",
                load.name.as_str(),
                load.answers,
                load.tokens,
                load.cpu_micros_per_response(),
                p50,
                p99
            )?;
        }
        if let Some(micros) = self.cpu_micros_per_token() {
            writeln!(f, "each further token: {micros:.1} us in the entry")?;
        }
        Ok(())
    }
}
