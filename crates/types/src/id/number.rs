//! Numeric identifiers with a total order.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

macro_rules! number_id {
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
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

number_id! {
    /// One start of a process; a restarted process has a larger one.
    Incarnation,
    /// Version of a folded state: the log offset after its last record, 0 when empty.
    Version,
    /// Fencing number of a lease: the log offset of the claim that won it.
    Epoch,
}

impl Version {
    /// The version that the record at `offset` produces.
    pub fn after(offset: u64) -> Self {
        Self(offset + 1)
    }
}
