//! Record types of the usage stream.

use {
    crate::ChunkSource,
    ports::{UsageLine, UsageReport},
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, time::Duration},
    types::{Epoch, VmId, ZoneId},
};

/// Start of a window, in milliseconds since the Unix epoch, a multiple of the window's length.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowStart(pub u64);

impl WindowStart {
    /// Returns the window of length `length` that contains the Unix time `unix`.
    pub fn at(unix: Duration, length: Duration) -> Self {
        let length = millis(length).max(1);
        Self(millis(unix) / length * length)
    }
}

impl fmt::Display for WindowStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WindowStart {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Identifies a window of one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WindowId {
    /// Availability zone.
    pub zone: ZoneId,
    /// Start of the window.
    pub start: WindowStart,
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.start)
    }
}

/// How far the chunks of an entry are sealed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// Incarnation of the entry.
    pub source: ChunkSource,
    /// Number of its last sealed chunk.
    pub through: u64,
    /// Window whose seal includes that chunk.
    pub window: WindowStart,
}

/// Seals a window. The first valid seal in log order fixes the window's figures permanently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The window.
    pub window: WindowId,
    /// Offset of the zone's last seal as the sender knew it; the seal is invalid if the last one is
    /// another.
    pub prev: Option<u64>,
    /// VM that sealed the window.
    pub sender: VmId,
    /// Fencing token of the sender's lease.
    pub epoch: Epoch,
    /// Watermarks of all entries of the zone, this window included.
    #[serde(rename = "marks")]
    pub watermarks: Vec<Watermark>,
    /// The figures. Late counts are in separate lines.
    pub lines: Vec<UsageLine>,
}

impl Seal {
    /// Returns the report of the sealed figures, sent by `sender`.
    pub fn report(&self, sender: VmId) -> UsageReport {
        UsageReport {
            window: self.window.to_string().into(),
            sender,
            lines: self.lines.clone(),
        }
    }
}

/// A record on the usage stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UsageRecord {
    /// Seals a window.
    Seal(Seal),
    /// The platform acknowledged the report of a window.
    Reported(WindowId),
}
