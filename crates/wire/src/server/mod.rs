//! The HTTP server: connections, requests and refusal responses.

mod handler;
mod limits;
mod listen;
mod response;
mod session;

pub use {
    handler::{Handler, ResponseFuture},
    limits::ServerLimits,
    listen::Server,
    response::{VERDICT_HEADER, json_response, refusal_response},
};
