//! Prompt metadata of a generation request.

use {
    serde::{Deserialize, Serialize},
    types::{ModelId, PromptPartId, Tokens},
};

/// Size and cacheable parts of a prompt, as announced by the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Model.
    pub model: ModelId,
    /// Prompt length.
    pub input: Tokens,
    /// Maximum length of the response.
    pub output: Tokens,
    /// Consecutive parts with their lengths. The last one is specific to this request or its
    /// session; the others may be shared.
    pub parts: Vec<(PromptPartId, Tokens)>,
}

impl Prompt {
    /// KV cache memory that the request takes at an engine once it is complete.
    pub fn memory(&self) -> Tokens {
        self.input + self.output
    }

    /// The parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[(PromptPartId, Tokens)] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Total length of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|(_, t)| t.0).sum()
    }

    /// The last part that other requests may share.
    pub fn deepest_shared(&self) -> Option<PromptPartId> {
        let at = self.parts.len().checked_sub(2)?;
        self.parts.get(at).map(|(id, _)| *id)
    }
}
