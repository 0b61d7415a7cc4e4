//! Stand-in of a plain service that counts what it executes.

mod control;
mod handler;

pub use {
    control::{ExecutedRequest, ServiceCommand},
    handler::Service,
};
