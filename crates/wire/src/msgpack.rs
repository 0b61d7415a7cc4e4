//! MessagePack bodies of messages between celerystage processes.
//!
//! Structs are written with field names, so that a process of the previous or next version skips
//! fields that it does not know and uses defaults for missing ones.

use {
    serde::{Serialize, de::DeserializeOwned},
    std::{error::Error, fmt},
};

/// Content type of MessagePack bodies.
pub const MSGPACK_CONTENT_TYPE: &str = "application/msgpack";

/// A message that could not be encoded or decoded.
#[derive(Debug)]
pub enum MsgpackError {
    /// Encoding failed.
    Encode(rmp_serde::encode::Error),
    /// Decoding failed.
    Decode(rmp_serde::decode::Error),
}

impl fmt::Display for MsgpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encode(e) => write!(f, "cannot encode message: {e}"),
            Self::Decode(e) => write!(f, "cannot decode message: {e}"),
        }
    }
}

impl Error for MsgpackError {}

/// Encodes a message.
pub fn to_msgpack(message: &impl Serialize) -> Result<Vec<u8>, MsgpackError> {
    rmp_serde::to_vec_named(message).map_err(MsgpackError::Encode)
}

/// Decodes a message.
pub fn from_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MsgpackError> {
    rmp_serde::from_slice(bytes).map_err(MsgpackError::Decode)
}
