//! Urgency levels of engines.

use {
    super::ParseQuantityError,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Urgency of a request at an engine. Level 0 is served first; larger numbers come after smaller
/// ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Urgency(pub u8);

impl Urgency {
    /// Number of levels that an engine distinguishes.
    pub const LEVELS: u8 = 10;
    /// The level that is served last.
    pub const LAST: Self = Self(Self::LEVELS - 1);

    /// The level as an index below [`Self::LEVELS`].
    pub fn index(self) -> usize {
        usize::from(self.min(Self::LAST).0)
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Urgency {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseQuantityError)
    }
}
