//! How fast engines are, and what they hold.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::Tokens,
};

/// An engine as configuration and measurement describe it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Memory for running requests and cached parts.
    pub memory: Tokens,
    /// Tokens in one event of a stream.
    #[serde(rename = "stride")]
    pub event_tokens: u32,
    /// Prompt tokens read in a millisecond.
    #[serde(rename = "prefill")]
    pub prefill_rate: f64,
    /// Most prompt tokens read between two tokens of other requests.
    pub chunk: u32,
    /// Time of a step that reads no prompts.
    pub step: Duration,
    /// Time that each running request adds to a step.
    #[serde(rename = "beside")]
    pub step_per_request: Duration,
    /// Time from sending a short prompt to its first token at an idle engine.
    #[serde(rename = "first")]
    pub idle_ttft: Duration,
}

impl EngineProfile {
    /// Engines of the users' deployments: 74.8 prompt tokens in a millisecond, less an eighth for
    /// attention over the prompts' length; steps of 4.84 ms, to which each running request adds
    /// 0.0725 ms. The chunk is the usual one of such engines.
    pub fn new(memory: Tokens, event_tokens: u32) -> Self {
        Self {
            memory,
            event_tokens,
            prefill_rate: 66.0,
            chunk: 4096,
            step: Duration::from_micros(4_840),
            step_per_request: Duration::from_nanos(72_500),
            idle_ttft: Duration::from_millis(80),
        }
    }

    /// Milliseconds to read `tokens` of prompts.
    pub(super) fn read_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate
    }

    /// Milliseconds between two events while prompts are read all the time.
    pub(super) fn crowded_ms(&self) -> f64 {
        let chunk = self.read_ms(u64::from(self.chunk));
        f64::from(self.event_tokens) * (chunk + self.step.as_secs_f64() * 1e3)
    }

    /// Milliseconds of a step with `running` requests.
    pub(super) fn step_ms(&self, running: u32) -> f64 {
        (self.step.as_secs_f64() + self.step_per_request.as_secs_f64() * f64::from(running)) * 1e3
    }
}
