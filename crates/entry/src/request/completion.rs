//! Parsing of completion requests, as far as routing needs it.

use {
    serde_json::{Map, Value},
    std::hash::{DefaultHasher, Hash, Hasher},
    types::{ModelId, Reason, Refusal, Tier, Tokens},
};

/// Characters that are estimated to make one token.
const CHARS_PER_TOKEN: usize = 4;
/// Length of the prompt prefix that is hashed to find an endpoint that has it cached.
const PREFIX_CHARS: usize = 256;

/// A parsed completion request. All fields of the body are kept, so that it can be sent on.
#[derive(Debug, Clone)]
pub(super) struct CompletionRequest {
    fields: Map<String, Value>,
    pub(super) model: ModelId,
    pub(super) stream: bool,
    text: String,
}

fn bad_request(message: impl Into<compact_str::CompactString>) -> Refusal {
    Refusal::not_run(Reason::BadRequest, message)
}

impl CompletionRequest {
    /// Parses the JSON body of a request.
    pub(super) fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|e| bad_request(format!("body is not JSON: {e}")))?;
        let Value::Object(fields) = value else {
            return Err(bad_request("body is not a JSON object"));
        };
        let model = fields
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| bad_request("model: a text is expected"))?
            .parse()
            .map_err(|e| bad_request(format!("model: {e}")))?;
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad_request("stream: true or false is expected")),
        };
        let text = prompt_text(&fields)?;
        Ok(Self {
            fields,
            model,
            stream,
            text,
        })
    }

    /// Estimated length of the prompt, at least one token.
    pub(super) fn estimated_tokens(&self) -> Tokens {
        Tokens((self.text.len() / CHARS_PER_TOKEN).max(1) as u64)
    }

    /// Hash of the first [`PREFIX_CHARS`] characters of the prompt.
    pub(super) fn prefix_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let start: String = self.text.chars().take(PREFIX_CHARS).collect();
        start.hash(&mut hasher);
        hasher.finish()
    }

    /// The JSON body to send to an engine: the caller's fields, the tier as the engine's priority
    /// and, if it is not 0, the token to resume from.
    pub(super) fn body(&self, tier: Tier, resume_from: u64) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.insert("priority".into(), tier.0.into());
        fields.remove("resume_from");
        if resume_from > 0 {
            fields.insert("resume_from".into(), resume_from.into());
        }
        serde_json::to_vec(&fields).unwrap_or_default()
    }
}

fn prompt_text(fields: &Map<String, Value>) -> Result<String, Refusal> {
    if let Some(prompt) = fields.get("prompt") {
        return match prompt {
            Value::String(text) => Ok(text.clone()),
            Value::Array(_) => Ok(prompt.to_string()),
            _ => Err(bad_request("prompt: a text is expected")),
        };
    }
    let messages = fields
        .get("messages")
        .and_then(Value::as_array)
        .ok_or_else(|| bad_request("messages: a list is expected"))?;
    if messages.is_empty() {
        return Err(bad_request("messages: at least one is expected"));
    }
    let mut text = String::new();
    for message in messages {
        match message.get("content") {
            Some(Value::String(content)) => text.push_str(content),
            Some(other) => text.push_str(&other.to_string()),
            None => {}
        }
    }
    Ok(text)
}
