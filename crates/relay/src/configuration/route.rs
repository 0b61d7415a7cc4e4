//! Routes: which service a request goes to, and what its class of work allows.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::{RouteId, ServiceId, Tier},
};

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Answered whole; may run more than once.
    Idempotent,
    /// Answered whole; runs at most once.
    Once,
    /// Answered by events; runs at most once.
    Stream,
    /// Answered by events; may go on at another endpoint after a break.
    Resumable,
}

impl RouteKind {
    /// Whether the request may run again from its start.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A route as configured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub id: RouteId,
    /// Host that callers ask for.
    pub host: CompactString,
    /// Start of the path.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time for an answer, or its first event, to be on time.
    pub target: Duration,
    /// Longest pause between events of an answer that is on time.
    pub pause: Option<Duration>,
    /// Tier, unless the organisation has its own.
    pub tier: Tier,
    /// Services and their weights.
    pub split: Vec<(ServiceId, f64)>,
    /// Most endpoints that one attempt of a caller may be sent to.
    pub attempts: u32,
    /// Whether no key is needed.
    pub open: bool,
}

impl Route {
    /// The service for a request, by a number drawn evenly from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.split.iter().map(|(_, w)| w).sum();
        let mut left = draw * total;
        for (service, weight) in &self.split {
            left -= weight;
            if left < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service)
    }
}
