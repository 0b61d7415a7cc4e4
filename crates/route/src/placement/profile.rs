//! Speed and capacity of engines.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::Tokens,
};

/// Performance model of an engine, from configuration and measurements.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// KV cache memory for running requests and cached parts.
    pub memory: Tokens,
    /// Tokens per stream event.
    #[serde(rename = "stride")]
    pub event_tokens: u32,
    /// Prefilled prompt tokens per millisecond.
    #[serde(rename = "prefill")]
    pub prefill_rate: f64,
    /// Maximum prompt tokens prefilled in one step (chunked prefill).
    pub chunk: u32,
    /// Base time of a decode step without prefill.
    pub step: Duration,
    /// Additional step time per running request.
    #[serde(rename = "beside")]
    pub request_step: Duration,
    /// Time to the first token of a short prompt at an idle engine.
    #[serde(rename = "first")]
    pub idle_ttft: Duration,
    /// Slots of an engine; zero if they don't limit placement.
    #[serde(skip)]
    pub slots: u32,
}

impl EngineProfile {
    /// Profile of the engines in the users' deployments: they prefill 74.8 prompt tokens per
    /// millisecond, less an eighth for attention over the prompt length; a step takes 4.84 ms plus
    /// 0.0725 ms per running request. The chunk is the common default of such engines.
    pub fn new(memory: Tokens, event_tokens: u32) -> Self {
        Self {
            memory,
            event_tokens,
            prefill_rate: 66.0,
            chunk: 4096,
            step: Duration::from_micros(4_840),
            request_step: Duration::from_nanos(72_500),
            idle_ttft: Duration::from_millis(80),
            slots: 0,
        }
    }

    /// The profile of engines with these slots, which may be scarcer than memory.
    pub fn with_slots(self, slots: u32) -> Self {
        Self { slots, ..self }
    }

    /// Milliseconds to prefill `tokens`.
    pub(super) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate
    }

    /// Milliseconds between two stream events while the engine prefills continuously.
    pub(super) fn loaded_gap_ms(&self) -> f64 {
        let chunk = self.prefill_ms(u64::from(self.chunk));
        f64::from(self.event_tokens) * (chunk + self.step.as_secs_f64() * 1e3)
    }

    /// Milliseconds of a decode step with `running` requests.
    pub(super) fn step_ms(&self, running: u32) -> f64 {
        (self.step.as_secs_f64() + self.request_step.as_secs_f64() * f64::from(running)) * 1e3
    }
}
