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
    /// Identifies one start of a process. A restarted process has a larger incarnation.
    Incarnation,
    /// Version of a state built from a log: the offset after the last applied record, 0 if none.
    Version,
    /// Fencing token of a lease; each later holder has a larger one.
    Epoch,
    /// Era of the platform's store. It rises each time that the store comes back from an older copy.
    Era,
}

impl Version {
    /// The version of the state after the record at `offset` is applied.
    pub fn after(offset: u64) -> Self {
        Self(offset + 1)
    }
}
