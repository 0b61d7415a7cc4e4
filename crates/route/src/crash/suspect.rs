//! What a crash may be due to.

use {
    super::RequestHash,
    serde::{Deserialize, Serialize},
    std::fmt,
    types::PromptPartId,
};

/// A property of requests that may crash the endpoints which run them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A prompt part that other requests may share.
    Part(PromptPartId),
    /// What copies of a request have in common.
    Request(RequestHash),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "part {id}"),
            Self::Request(hash) => write!(f, "request {hash}"),
        }
    }
}
