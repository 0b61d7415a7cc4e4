//! What two copies of a request have in common.

use {
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher13,
    std::{fmt, hash::Hasher},
    types::OrgId,
};

/// Keys of the hash, the same on all VMs and in all releases.
const KEYS: (u64, u64) = (0x6365_6c65_7279, 0x0073_7461_6765);

/// SipHash-1-3 of a request's method, target, organisation and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// The hash of a request.
    pub fn of(method: &str, target: &str, org: Option<&OrgId>, body: &[u8]) -> Self {
        let mut hasher = SipHasher13::new_with_keys(KEYS.0, KEYS.1);
        let org = org.map(OrgId::as_str).unwrap_or_default();
        for field in [method.as_bytes(), target.as_bytes(), org.as_bytes(), body] {
            hasher.write(&(field.len() as u64).to_le_bytes());
            hasher.write(field);
        }
        Self(hasher.finish())
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
