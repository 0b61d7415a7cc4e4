//! Positions in the platform's log.

use {
    super::Era,
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt, str::FromStr},
};

/// A position in a topic of the log. Offsets compare only within one era of the store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Era of the store.
    pub era: Era,
    /// Offset in the topic.
    pub offset: u64,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}

/// A text that is not a log position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsePositionError;

impl fmt::Display for ParsePositionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a log position is ERA/OFFSET")
    }
}

impl Error for ParsePositionError {}

impl FromStr for LogPosition {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, offset) = text.split_once('/').ok_or(ParsePositionError)?;
        Ok(Self {
            era: era.parse().map_err(|_| ParsePositionError)?,
            offset: offset.parse().map_err(|_| ParsePositionError)?,
        })
    }
}
