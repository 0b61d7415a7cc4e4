//! What lives as long as a connection.

mod front;
mod internal;
mod session;

pub(crate) use {
    front::{listen, serve_front},
    internal::{Handler, HandlerFuture, serve_internal},
};
