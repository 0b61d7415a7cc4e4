//! HTTP/1.1 for the data path, on httparse.
//!
//! A proxy needs what async-h1 hides: whether a close came before or after the end of a body, bytes
//! left over behind an answer, an answer that overtakes a long upload, and a caller's hang-up while
//! an answer is awaited. Parsing is httparse's; framing and connection reuse are decided here.

mod body;
mod call;
mod conn;
mod framing;
mod head;
mod pool;
mod sse;

pub use {
    body::{BodyError, BodyReader},
    call::{CallError, Response, call, get},
    conn::Conn,
    framing::{Framing, FramingError, request_framing, response_framing},
    head::{HeadError, Headers, MAX_HEADERS, RequestHead, ResponseHead},
    pool::{Pool, PooledConn},
    sse::{Event, EventSplitter, SseError},
};
