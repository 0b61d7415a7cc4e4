//! Configuration and endpoints as the platform publishes them.

use {
    crate::{configuration::Config, endpoints::Endpoint},
    compact_str::CompactString,
    ports::PlatformFuture,
    std::{sync::Arc, time::Duration},
    types::EndpointId,
};

/// What is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FeedKind {
    /// The operators' configuration.
    Configuration,
    /// The list of endpoints.
    Endpoints,
}

impl FeedKind {
    /// All feeds.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Endpoints];

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
        }
    }
}

/// One change.
#[derive(Debug, Clone)]
pub enum FeedChange {
    /// A configuration in full.
    Config(Arc<Config>),
    /// An endpoint that is listed.
    Listed(Endpoint),
    /// An endpoint that is no longer listed.
    Unlisted(EndpointId),
    /// An entry of another writer, or of another shape: key and what is wrong.
    Undecodable(CompactString, CompactString),
}

/// Changes read at once.
#[derive(Debug, Clone)]
pub enum FeedUpdate {
    /// Changes in order, and the offset after them.
    Changes(Vec<FeedChange>, u64),
    /// The changes from the asked offset on are no longer kept; read everything again.
    Trimmed,
}

/// Feeds of the platform.
pub trait Feed: Send + Sync {
    /// Everything that is published now, and the offset from which to follow.
    fn snapshot(&self, kind: FeedKind) -> PlatformFuture<'_, (Vec<FeedChange>, u64)>;

    /// Changes from offset `from` on; waits up to `wait` when there are none yet.
    fn follow(&self, kind: FeedKind, from: u64, wait: Duration) -> PlatformFuture<'_, FeedUpdate>;
}
