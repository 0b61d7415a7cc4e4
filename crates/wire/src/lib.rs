//! HTTP/1.1 between callers, celerystage processes, endpoints and the platform, on async-h1.
//!
//! async-h1 brings no time limits, no size limits, no detection of a caller that hangs up, and it
//! takes an answer that ends early for a whole one. This crate adds these around its codec.

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
// One splitter serves both HTTP layers.
pub use h1::{Event, EventSplitter, SseError};
