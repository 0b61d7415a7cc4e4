//! The platform's feeds of configuration and endpoints.

use {
    crate::{configuration::Config, endpoints::Endpoint},
    compact_str::CompactString,
    ports::PlatformFuture,
    std::{sync::Arc, time::Duration},
    types::{EndpointId, LogPosition, ZoneId},
};

/// A feed of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FeedKind {
    /// The configuration that operators publish.
    Configuration,
    /// The list of endpoints.
    Endpoints,
}

impl FeedKind {
    /// All feeds.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Endpoints];

    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
        }
    }
}

/// One change in a feed.
#[derive(Debug, Clone)]
pub enum FeedChange {
    /// A complete configuration.
    Config(Arc<Config>),
    /// An endpoint that was added or updated.
    Listed(Endpoint),
    /// An endpoint that was removed from the list.
    Unlisted(EndpointId),
    /// An availability zone that operators have taken out of service.
    Evacuated(ZoneId),
    /// An availability zone that is in service again.
    Restored(ZoneId),
    /// An entry that cannot be decoded, such as one of another writer: its key and the error.
    Undecodable(CompactString, CompactString),
}

/// Result of reading a feed from an offset.
#[derive(Debug, Clone)]
pub enum FeedUpdate {
    /// Changes in order, and the position to read from next.
    Changes(Vec<FeedChange>, LogPosition),
    /// The platform no longer has the requested position, or has started a new era since; a new
    /// snapshot is needed.
    Trimmed,
}

/// Reads the platform's feeds.
pub trait Feed: Send + Sync {
    /// The current content of a feed, and the position to follow it from.
    fn snapshot(&self, kind: FeedKind) -> PlatformFuture<'_, (Vec<FeedChange>, LogPosition)>;

    /// Changes from position `from` on; waits up to `wait` if there are none yet.
    fn follow(
        &self,
        kind: FeedKind,
        from: LogPosition,
        wait: Duration,
    ) -> PlatformFuture<'_, FeedUpdate>;
}
