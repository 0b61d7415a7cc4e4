//! The HTTP server: connections, requests and refusals.

mod handler;
mod limits;
mod listen;
mod refuse;
mod session;

pub use {
    handler::{Handler, ResponseFuture},
    limits::ServerLimits,
    listen::Server,
    refuse::{VERDICT_HEADER, json_response, refusal_response},
};
