//! What a stream is known by.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
    types::{AttemptId, OrgId, ServiceId},
};

const KEY_BYTES: usize = 16;

/// Identifies a stream by the attempt that brought its first event. Callers choose the ids of
/// attempts, so that those of two organisations or services may be the same: they are part of the key.
/// It is a digest that nobody can find a second stream for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(#[serde(with = "serde_bytes")] [u8; KEY_BYTES]);

impl StreamKey {
    /// The key of the stream whose first event came with `attempt`.
    pub fn of(service: &ServiceId, org: Option<&OrgId>, attempt: &AttemptId) -> Self {
        let org = org.map(OrgId::as_str).unwrap_or_default();
        let mut digest = Sha256::new();
        for field in [service.as_str(), org, attempt.as_str()] {
            digest.update((field.len() as u64).to_le_bytes());
            digest.update(field.as_bytes());
        }
        let digest: [u8; 32] = digest.finalize().into();
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&digest[..KEY_BYTES]);
        Self(key)
    }

    /// The hash bucket of the stream, of at most 256.
    pub(crate) fn bucket(&self, buckets: usize) -> usize {
        usize::from(self.0[0]) % buckets
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "StreamKey({self})")
    }
}
