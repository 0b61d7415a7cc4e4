//! Stand-in for a plain service that records the requests that it executes.

mod control;
mod handler;

pub use {
    control::{ExecutedRequest, ServiceCommand},
    handler::Service,
};
