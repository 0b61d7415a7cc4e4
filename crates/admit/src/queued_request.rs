//! A request that waits for an endpoint.

use {
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
    types::{ClassId, OrgId, Tier, Tokens},
};

/// Identifies a queued request within one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueuedRequestId(pub u64);

impl fmt::Display for QueuedRequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for QueuedRequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A request that waits for an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Identifier.
    pub id: QueuedRequestId,
    /// Organisation that the request runs for.
    pub org: OrgId,
    /// Fair-share weight of the organisation.
    pub weight: u32,
    /// Class of the request.
    pub class: ClassId,
    /// Service tier of the class.
    pub tier: Tier,
    /// When the request arrived.
    pub arrived: Instant,
    /// Deadline of the first token.
    pub deadline: Instant,
    /// Prompt length.
    pub prompt: Tokens,
    /// Whether the request was dispatched before and waits to be resumed. Such requests are never
    /// refused for lateness.
    pub resumed: bool,
}
