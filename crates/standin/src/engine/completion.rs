//! Completion requests, as far as an engine reads them.

use {
    compact_str::CompactString,
    serde::Deserialize,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Characters of a prompt that count as one token.
const CHARS_PER_TOKEN: usize = 4;
/// Number of a prompt's first characters that are the key of the prefix cache.
const PREFIX_CHARS: usize = 256;
/// Text in a prompt that comes before the number of tokens to generate.
const LENGTH_MARK: &str = "len=";
/// Tokens to generate if the prompt does not state a number.
const DEFAULT_LENGTH: u64 = 32;

#[derive(Debug, Clone, Deserialize)]
struct Message {
    #[serde(default)]
    content: CompactString,
}

/// Body of a completion request.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct CompletionRequest {
    #[serde(default)]
    pub(super) model: CompactString,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: CompactString,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Requests with a lower number run first.
    #[serde(default)]
    pub(super) priority: i64,
    /// Number of the response's tokens that the caller already has.
    #[serde(default)]
    pub(super) resume_from: u64,
}

impl CompletionRequest {
    fn prompt_text(&self) -> String {
        let messages = self.messages.iter().map(|m| m.content.as_str());
        messages.chain([self.prompt.as_str()]).collect()
    }

    /// Number of tokens in the prompt.
    pub(super) fn prompt_tokens(&self) -> u64 {
        (self.prompt_text().len() / CHARS_PER_TOKEN).max(1) as u64
    }

    /// Number of tokens in the response.
    pub(super) fn response_tokens(&self) -> u64 {
        let text = self.prompt_text();
        let stated = text.rsplit_once(LENGTH_MARK).and_then(|(_, rest)| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        });
        let length = stated.unwrap_or(DEFAULT_LENGTH);
        length.min(self.max_tokens.unwrap_or(u64::MAX)).max(1)
    }

    /// Hash of the prompt's prefix.
    pub(super) fn prefix_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let start: String = self.prompt_text().chars().take(PREFIX_CHARS).collect();
        start.hash(&mut hasher);
        hasher.finish()
    }
}
