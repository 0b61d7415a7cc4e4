//! Records and streams of the append-only log.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt, str::FromStr},
};

/// A stream of the log. Each stream has its own offsets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stream {
    /// Configuration changes by operators.
    Config,
    /// Snapshots of the configuration, with all changes applied.
    Snapshots,
    /// Claims and renewals of leases.
    Leases,
    /// Intents and results of endpoint orders.
    Orders,
    /// Claims of requests that may run at most once.
    Claims,
    /// Sealed usage windows.
    Usage,
}

impl Stream {
    /// All streams.
    pub const ALL: [Self; 6] = [
        Self::Config,
        Self::Snapshots,
        Self::Leases,
        Self::Orders,
        Self::Claims,
        Self::Usage,
    ];

    /// Name in URL paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Snapshots => "snapshots",
            Self::Leases => "leases",
            Self::Orders => "orders",
            Self::Claims => "claims",
            Self::Usage => "usage",
        }
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text that is not the name of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseStreamError;

impl fmt::Display for ParseStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "accepted streams: config snapshots leases orders claims usage"
        )
    }
}

impl Error for ParseStreamError {}

impl FromStr for Stream {
    type Err = ParseStreamError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|s| s.as_str() == text)
            .ok_or(ParseStreamError)
    }
}

/// Request body of an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendBody {
    /// Content of the record.
    pub data: CompactString,
}

/// Response to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: u64,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset in its stream.
    pub offset: u64,
    /// When the platform appended it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Content of the record.
    pub data: CompactString,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that the log still keeps.
    pub first: u64,
    /// Offset after the newest record.
    pub next: u64,
    /// Records from the requested offset on; possibly not all.
    pub records: Vec<Record>,
}
