//! Accepts and serves connections of callers, of the platform and of other VMs.

mod front;
mod internal;
mod request_body;
mod session;

pub(crate) use {
    front::{listen, serve_front},
    internal::{Audience, InternalFuture, InternalHandler, serve_internal},
};
