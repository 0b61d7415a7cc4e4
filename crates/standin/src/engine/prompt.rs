//! What an engine reads from a request.

use {
    compact_str::CompactString,
    serde::Deserialize,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Characters of a prompt that count as one token.
const CHARS_PER_TOKEN: usize = 4;
/// Characters of a prompt's start that the cache is keyed by.
const PREFIX_CHARS: usize = 256;
/// Mark in a prompt that tells how many tokens the answer has.
const LENGTH_MARK: &str = "len=";
const DEFAULT_LENGTH: u64 = 32;

#[derive(Debug, Clone, Deserialize)]
struct Message {
    #[serde(default)]
    content: CompactString,
}

/// Body of a completion request.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Prompt {
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
    /// Lower runs first.
    #[serde(default)]
    pub(super) priority: i64,
    /// Tokens of the answer that the caller has already.
    #[serde(default)]
    pub(super) resume_from: u64,
}

impl Prompt {
    fn text(&self) -> String {
        let messages = self.messages.iter().map(|m| m.content.as_str());
        messages.chain([self.prompt.as_str()]).collect()
    }

    /// Tokens of the prompt.
    pub(super) fn tokens(&self) -> u64 {
        (self.text().len() / CHARS_PER_TOKEN).max(1) as u64
    }

    /// Tokens of the answer.
    pub(super) fn answer_tokens(&self) -> u64 {
        let text = self.text();
        let wanted = text.rsplit_once(LENGTH_MARK).and_then(|(_, rest)| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        });
        let length = wanted.unwrap_or(DEFAULT_LENGTH);
        length.min(self.max_tokens.unwrap_or(u64::MAX)).max(1)
    }

    /// Hash of the prompt's start.
    pub(super) fn prefix(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let start: String = self.text().chars().take(PREFIX_CHARS).collect();
        start.hash(&mut hasher);
        hasher.finish()
    }
}
