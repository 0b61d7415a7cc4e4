//! What a generation asks for.

use {
    serde::{Deserialize, Serialize},
    types::{ModelId, PartId, Tokens},
};

/// A prompt as a caller announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Model.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub input: Tokens,
    /// Most tokens of the answer.
    pub output: Tokens,
    /// Parts in order; the last one belongs to this request or its session alone.
    pub parts: Vec<(PartId, Tokens)>,
}

impl Prompt {
    /// Memory that the request takes at an engine once it is complete.
    pub fn memory(&self) -> Tokens {
        self.input + self.output
    }

    /// Tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|(_, t)| t.0).sum()
    }

    /// The deepest part that other requests may share.
    pub fn deepest_shared(&self) -> Option<PartId> {
        let at = self.parts.len().checked_sub(2)?;
        self.parts.get(at).map(|(id, _)| *id)
    }
}
