//! Stand-in of a plain service that counts what it executes.

mod control;
mod handler;

pub use {
    control::{Control, Executed},
    handler::Service,
};
