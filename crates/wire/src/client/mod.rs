//! The HTTP client: calls with timeouts, connection reuse, and a verdict for each failure that says
//! whether the request may have run.

mod call;
mod error;
mod pool;
mod reply;

pub use {
    call::{Call, CallTimeouts, Client},
    error::{SendError, SendErrorKind},
    reply::Reply,
};
