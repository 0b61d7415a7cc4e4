//! How fast engines are.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Prompt tokens read in a millisecond.
    pub prefill: f64,
    /// Time from sending a short prompt to its first token at an idle engine.
    pub first: Duration,
    /// Time that each running request adds to the first token of another.
    pub beside: Duration,
}

impl Default for EngineProfile {
    /// The engines of the users' deployments: 74.8 prompt tokens in a millisecond and steps of 4.84 ms,
    /// to which each running request adds 0.0725 ms.
    fn default() -> Self {
        Self {
            prefill: 74.8,
            first: Duration::from_millis(80),
            beside: Duration::from_micros(300),
        }
    }
}

impl EngineProfile {
    /// Milliseconds to read `tokens` of a prompt.
    pub(super) fn read_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill
    }
}
