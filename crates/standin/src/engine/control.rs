//! An engine's speed and faults, and the record of what it executed.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::RequestId,
};

/// Speed and capacity of the stand-in engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineSettings {
    /// Requests that run at once; further ones wait inside the engine.
    pub slots: u32,
    /// Time of one step with a single request, in microseconds.
    pub step_us: u64,
    /// Added step time for each further request, in microseconds.
    #[serde(rename = "crowd_us")]
    pub added_us: u64,
    /// Time to read one prompt token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Prompt starts that the cache holds.
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
    /// Time of one step with `running` requests.
    pub fn step(&self, running: u32, slowdown: f64) -> Duration {
        let others = u64::from(running.saturating_sub(1));
        let step = Duration::from_micros(self.step_us + self.added_us * others);
        step.mul_f64(slowdown.max(0.01))
    }

    /// Time to read `tokens` prompt tokens.
    pub fn prefill(&self, tokens: u64, slowdown: f64) -> Duration {
        Duration::from_micros(self.prefill_us * tokens).mul_f64(slowdown.max(0.01))
    }
}

/// A control call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommand {
    /// Multiplies all times.
    Slow(f64),
    /// Cuts the connection of every running and coming stream after this many tokens.
    CutAfter(Option<u64>),
    /// Refuses requests with status 500.
    Fail(bool),
    /// Answers with another request's id and content.
    Cross(bool),
    /// Stops making tokens without closing anything.
    Hang(bool),
}

/// A request as the engine executed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExecutedCompletion {
    /// The request's id, as sent.
    pub id: RequestId,
    /// Header names and values as received.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Tokens skipped because the caller had them.
    #[serde(rename = "from")]
    pub resumed_from: u64,
    /// Tokens made.
    #[serde(rename = "made")]
    pub generated: u64,
    /// Whether the answer was made to its end.
    #[serde(rename = "whole")]
    pub finished: bool,
}
