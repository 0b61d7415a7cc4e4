//! Digest of a caller's key. The key itself is never stored or sent to other processes.

use {
    super::ParseIdError,
    compact_str::{CompactString, ToCompactString},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        cmp::Ordering,
        fmt,
        hash::{Hash, Hasher},
        str::FromStr,
    },
    subtle::ConstantTimeEq,
};

/// SHA-256 digest of a caller's key. Comparison for equality takes constant time.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key as sent by a caller.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// The 32 bytes of the digest.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl PartialOrd for KeyDigest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for KeyDigest {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.cmp(&other.0)
    }
}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        if text.len() != 64 || !text.is_ascii() {
            return Err(ParseIdError::BadHex);
        }
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseIdError::BadHex)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<CompactString> for KeyDigest {
    type Error = ParseIdError;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyDigest> for CompactString {
    fn from(digest: KeyDigest) -> Self {
        digest.to_compact_string()
    }
}
