//! Token counts, byte sizes and rates.

use {
    serde::{Deserialize, Serialize},
    std::{
        error::Error,
        fmt,
        ops::{Add, AddAssign},
        str::FromStr,
    },
};

/// The error for a text or number that is not a valid quantity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseQuantityError;

impl fmt::Display for ParseQuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected a non-negative number")
    }
}

impl Error for ParseQuantityError {}

macro_rules! amount {
    ($(#[$doc:meta] $name:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseQuantityError)
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }
    )*};
}

amount! {
    /// A number of prompt or generated tokens.
    Tokens,
    /// A size in bytes.
    Bytes,
}

/// A rate in events per second; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct PerSecond(f64);

impl PerSecond {
    /// The rate as a number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for PerSecond {
    type Error = ParseQuantityError;

    fn try_from(rate: f64) -> Result<Self, Self::Error> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(ParseQuantityError)
        }
    }
}

impl From<PerSecond> for f64 {
    fn from(rate: PerSecond) -> Self {
        rate.0
    }
}

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        let rate: f64 = number.parse().map_err(|_| ParseQuantityError)?;
        Self::try_from(rate)
    }
}
