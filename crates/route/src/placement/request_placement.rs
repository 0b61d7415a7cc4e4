//! An endpoint chosen for a request, and how that ends.

use {
    super::{load::Load, profile::EngineProfile},
    clock::Instant,
    std::time::Duration,
    types::{EndpointId, Urgency},
};

/// An endpoint chosen for a request. Must be released by [`Placer::finish`].
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub id: EndpointId,
    /// Predicted time to the first token or the response.
    pub predicted: Duration,
    /// Part of the predicted time that is spent waiting for other requests.
    pub queue_delay: Duration,
    /// Endpoint to fetch missing shared parts from.
    pub kv_source: Option<EndpointId>,
    /// Load that the request adds to the endpoint.
    pub load: Load,
    /// When the endpoint was chosen.
    pub placed: Instant,
    /// Whether the endpoint was cold.
    pub cold: bool,
    /// Urgency at the engine.
    pub urgency: Urgency,
    /// Announced output tokens.
    pub output: u64,
    /// When the first token came.
    pub first: Option<Instant>,
}

impl Placement {
    /// Time for which the request held a slot: the prefill of its own prompt, and since its first token.
    pub(super) fn held(&self, profile: &EngineProfile, now: Instant) -> Option<Duration> {
        let first = self.first.filter(|_| self.output > 0)?;
        let waited = first.since(self.placed);
        let prefill = self.predicted.saturating_sub(self.queue_delay);
        Some(prefill.max(profile.idle_ttft).min(waited) + now.since(first))
    }
}

/// Outcome of a placed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// The response was complete.
    Completed,
    /// The endpoint failed.
    Failed,
    /// The endpoint refused the request: it is full, or another instance than expected.
    Refused,
    /// The connection failed or went silent.
    Unreachable,
    /// The caller or this VM gave up; not evidence about the endpoint.
    Cancelled,
    /// Nothing was sent to the endpoint.
    Unsent,
}
