//! Records of the claim stream.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    types::{KeyDigest, OrgId, RequestId},
};

/// An organisation's idempotency key, by digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(KeyDigest);

impl ClaimKey {
    /// The key of `org` that a caller sent.
    pub fn new(org: &OrgId, key: &str) -> Self {
        Self(KeyDigest::of_key(format!("{org}\n{key}").as_bytes()))
    }
}

/// What a request asks for, by digest, to tell a repeat from another request under the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(KeyDigest);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut bytes = format!("{method}\n{path}\n").into_bytes();
        bytes.extend_from_slice(body);
        Self(KeyDigest::of_key(&bytes))
    }
}

/// An answer that is given again to a repeated request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    #[serde(default, rename = "kind")]
    pub content_type: CompactString,
    /// Body.
    pub body: CompactString,
}

/// One step. Each is idempotent by its request's id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOp {
    /// The request wants to be the one that is executed.
    Claim {
        /// Idempotency key.
        key: ClaimKey,
        /// What the request asks for.
        print: Fingerprint,
        /// The request.
        request: RequestId,
    },
    /// The request was answered.
    #[serde(rename = "done")]
    Complete {
        /// Idempotency key.
        key: ClaimKey,
        /// The request.
        request: RequestId,
        /// Its answer, unless it is too large to keep.
        answer: Option<StoredResponse>,
    },
    /// The request was not executed and never will be.
    #[serde(rename = "free")]
    Release {
        /// Idempotency key.
        key: ClaimKey,
        /// The request.
        request: RequestId,
    },
}
