//! The HTTP client: calls with time limits, connection reuse and a verdict for each failure.

mod call;
mod error;
mod pool;
mod reply;

pub use {
    call::{Call, CallTimeouts, Client},
    error::{SendError, SendErrorKind},
    reply::Reply,
};
