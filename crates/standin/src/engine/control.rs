//! An engine's speed, commands that set its faults, and the record of the requests that it
//! executed.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::RequestId,
};

/// Capacity and speed of the stand-in engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineSettings {
    /// Requests that run at the same time. Further ones wait inside the engine.
    pub slots: u32,
    /// Time of one decoding step with a single request, in microseconds.
    pub step_us: u64,
    /// Time that each further running request adds to a step, in microseconds.
    #[serde(rename = "crowd_us")]
    pub added_us: u64,
    /// Time to prefill one prompt token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Prompt prefixes that the cache holds.
    #[serde(rename = "cached")]
    pub cached_prefixes: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            step_us: 8_000,
            added_us: 500,
            prefill_us: 100,
            cached_prefixes: 64,
        }
    }
}

impl EngineSettings {
    /// Time of one decoding step with `running` requests.
    pub fn step(&self, running: u32, slowdown: f64) -> Duration {
        let further = u64::from(running.saturating_sub(1));
        let step = Duration::from_micros(self.step_us + self.added_us * further);
        step.mul_f64(slowdown.max(0.01))
    }

    /// Time to prefill `tokens` prompt tokens that are not cached.
    pub fn prefill(&self, tokens: u64, slowdown: f64) -> Duration {
        Duration::from_micros(self.prefill_us * tokens).mul_f64(slowdown.max(0.01))
    }
}

/// A command to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommand {
    /// Sets the factor by which all times are multiplied.
    Slow(f64),
    /// Sets the number of tokens after which every running and future stream is cut; `None` for no
    /// cut.
    CutAfter(Option<u64>),
    /// Sets whether requests are refused with status 500.
    Fail(bool),
    /// Sets whether responses carry the id and content of another request.
    Cross(bool),
    /// Sets whether generation stalls while all connections stay open.
    Hang(bool),
}

/// A completion request that the engine executed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExecutedCompletion {
    /// Id in the request.
    pub id: RequestId,
    /// Names and values of the received headers.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Number of tokens skipped because the caller already had them.
    #[serde(rename = "from")]
    pub resumed_from: u64,
    /// Number of tokens generated.
    #[serde(rename = "made")]
    pub generated: u64,
    /// Whether the response was generated to its end.
    #[serde(rename = "whole")]
    pub finished: bool,
}
