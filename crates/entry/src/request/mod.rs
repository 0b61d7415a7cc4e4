//! State that lives as long as one request: its caller, route, attempts and response.

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
