//! Request identifiers.

use {
    super::ParseIdError,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Hexadecimal digits of a request id.
const HEX_DIGITS: usize = 32;

/// Identifies a request across all VMs. It is sent to the endpoint, which returns it in its
/// response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(u128);

impl RequestId {
    /// Builds an id from 128 random bits.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// The id's 128 bits.
    pub fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != HEX_DIGITS || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseIdError::BadHex);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError::BadHex)
    }
}
