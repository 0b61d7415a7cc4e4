//! Routes: which service a request goes to, and whether it may be retried.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::{RouteId, ServiceId, Tier},
};

/// How a route's requests are answered, and whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Buffered response; may run more than once.
    Idempotent,
    /// Buffered response; runs at most once.
    Once,
    /// Event stream; runs at most once.
    Stream,
    /// Event stream; may be resumed at another endpoint after a failure.
    Resumable,
}

impl RouteKind {
    /// Whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Identifier.
    pub id: RouteId,
    /// Value of the `Host` header field.
    pub host: CompactString,
    /// Prefix of the path.
    pub prefix: CompactString,
    /// Response form and retry safety.
    pub kind: RouteKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency target of the response or of the first event of a stream.
    pub target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub pause: Option<Duration>,
    /// Priority tier of requests whose organisation has no tier of its own.
    pub tier: Tier,
    /// Services and their shares of the traffic, as relative weights.
    pub split: Vec<(ServiceId, f64)>,
    /// Largest number of endpoints that one attempt of a caller may be sent to.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub open: bool,
}

/// Time without an event after which callers abandon a stream: the longest of this minimum and of these multiples of
/// the targets.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_TARGETS: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

impl Route {
    /// Time after which callers abandon a stream without a first event; `None` for routes that aren't streams.
    pub fn patience(&self) -> Option<Duration> {
        if !self.kind.is_stream() {
            return None;
        }
        let pauses = self.pause.unwrap_or_default() * PATIENCE_PAUSES;
        Some(MIN_PATIENCE.max(self.target * PATIENCE_TARGETS).max(pauses))
    }

    /// The service for a request, selected by weight; `draw` is uniformly distributed in [0, 1).
    pub fn service(&self, draw: f64) -> Option<&ServiceId> {
        select_service(&self.split, draw)
    }
}

/// The service that weights select; `draw` is uniformly distributed in [0, 1).
pub(crate) fn select_service(split: &[(ServiceId, f64)], draw: f64) -> Option<&ServiceId> {
    let total: f64 = split.iter().map(|(_, w)| w).sum();
    let mut remaining = draw * total;
    for (service, weight) in split {
        remaining -= weight;
        if remaining < 0.0 {
            return Some(service);
        }
    }
    split.last().map(|(service, _)| service)
}
