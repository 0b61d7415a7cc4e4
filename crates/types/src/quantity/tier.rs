//! Service tiers.

use {
    super::ParseQuantityError,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// A service tier. Tier 0 is the highest; larger numbers are served after smaller ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tier(pub u8);

impl Tier {
    /// Whether this tier is served before `other`.
    pub fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Tier {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseQuantityError)
    }
}
