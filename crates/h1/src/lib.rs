//! HTTP/1.1 for the data path, on httparse.
//!
//! A proxy must know several things that async-h1 does not expose: whether a connection closed
//! before or after the end of a body, which bytes follow a response, that a response arrived before
//! its request was fully sent, and that a caller disconnected while waiting for a response.
//! httparse parses the heads; this crate implements body framing and connection reuse.

mod body;
mod call;
mod call_times;
mod conn;
mod framing;
mod head;
mod pool;
mod send_permission;
mod sse;

pub use {
    body::{BodyError, BodyReader},
    call::{CallError, CallLimits, Response, call, get},
    call_times::CallTimes,
    conn::Conn,
    framing::{Framing, FramingError, request_framing, response_framing},
    head::{HeadError, Headers, MAX_HEADERS, RequestHead, ResponseHead},
    pool::{Pool, PooledConn},
    sse::{Event, EventSplitter, SseError},
};
