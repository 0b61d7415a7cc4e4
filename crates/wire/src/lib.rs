//! HTTP/1.1 client and server, on async-h1, for traffic with callers, celerystage processes,
//! endpoints and the platform.
//!
//! async-h1 has no timeouts, no size limits and no detection of a caller that disconnects, and it
//! accepts a truncated response as complete. This crate adds these checks around its codec.

mod body;
mod client;
mod conn;
mod msgpack;
mod server;

pub use {
    body::{BodyError, BodySender, body_channel, read_body},
    client::{Call, CallTimeouts, Client, Reply, SendError, SendErrorKind},
    conn::StopSignal,
    msgpack::{MSGPACK_CONTENT_TYPE, MsgpackError, from_msgpack, to_msgpack},
    server::{
        Handler, ResponseFuture, Server, ServerLimits, VERDICT_HEADER, json_response,
        refusal_response,
    },
};
// Both HTTP layers use the same event splitter.
pub use h1::{Event, EventSplitter, SseError};
