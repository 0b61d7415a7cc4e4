//! Records of the claim stream.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    types::{KeyDigest, OrgId, RequestId},
};

/// Digest of an organisation's id and an idempotency key that it sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(KeyDigest);

impl ClaimKey {
    /// The claim key for an idempotency key sent by `org`.
    pub fn new(org: &OrgId, key: &str) -> Self {
        Self(KeyDigest::of_key(format!("{org}\n{key}").as_bytes()))
    }
}

/// Digest of a request's method, path and body. It tells a repeat from another request that reuses
/// the idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(KeyDigest);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut bytes = format!("{method}\n{path}\n").into_bytes();
        bytes.extend_from_slice(body);
        Self(KeyDigest::of_key(&bytes))
    }
}

/// A response that is stored on the log and returned to repeats of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    #[serde(default, rename = "kind")]
    pub content_type: CompactString,
    /// Body.
    pub body: CompactString,
}

/// An operation on a claim. Each is idempotent, by the id of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOp {
    /// The request claims the key, so that only this request is executed for it.
    Claim {
        /// The idempotency key.
        key: ClaimKey,
        /// Fingerprint of the request.
        print: Fingerprint,
        /// The claiming request.
        request: RequestId,
    },
    /// The request was executed and its response is complete.
    #[serde(rename = "done")]
    Complete {
        /// The idempotency key.
        key: ClaimKey,
        /// The claiming request.
        request: RequestId,
        /// Its response, unless it is too large to store or not text.
        answer: Option<StoredResponse>,
    },
    /// The request was not executed and never will be.
    #[serde(rename = "free")]
    Release {
        /// The idempotency key.
        key: ClaimKey,
        /// The claiming request.
        request: RequestId,
    },
}
