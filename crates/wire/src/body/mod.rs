//! What lives for a request: bodies that are read whole and bodies that are fed piece by piece.

mod channel;
mod whole;

pub use {
    channel::{BodySender, body_channel},
    whole::{BodyError, read_body},
};
