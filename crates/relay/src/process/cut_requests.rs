//! Requests that endpoints cut: the connection broke or went silent before the response was complete.

use {
    super::Node,
    crate::request::{RoutedRequest, SlotLease},
    compact_str::{CompactString, ToCompactString},
    types::PromptPartId,
};

/// Most prompt parts that are logged for one request.
const MAX_PARTS_LOGGED: usize = 8;

impl Node {
    /// Notes that an endpoint cut a request, or was silent towards it.
    pub(crate) fn note_cut(&self, request: &RoutedRequest, slot: &SlotLease, cause: &'static str) {
        let shared = request.caller.prompt.as_ref().map(|p| p.shared_parts());
        log::info!(
            request:% = request.caller.id, endpoint:% = slot.endpoint(), born = slot.born, cause = cause,
            events = request.progress.lock().events,
            parts = join(shared.unwrap_or_default()).as_str();
            "request cut by its endpoint"
        );
    }
}

/// The ids of prompt parts as text, deepest first.
fn join(parts: &[(PromptPartId, types::Tokens)]) -> CompactString {
    let mut text = CompactString::default();
    for (id, _) in parts.iter().rev().take(MAX_PARTS_LOGGED) {
        if !text.is_empty() {
            text.push(',');
        }
        text.push_str(&id.to_compact_string());
    }
    text
}
