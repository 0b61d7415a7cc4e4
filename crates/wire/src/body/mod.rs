//! Bodies that are read into memory, and bodies that a task writes chunk by chunk.

mod channel;
mod read;

pub use {
    channel::{BodySender, body_channel},
    read::{BodyError, read_body},
};
