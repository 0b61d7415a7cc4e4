//! What lives for a request: its caller, its target, its attempts and its answer.

mod caller;
mod caller_handler;
mod completion;
mod context;
mod headers;
mod idempotency;
mod model;
mod permit;
mod plain;
mod stream;

pub(crate) use caller_handler::CallerHandler;
