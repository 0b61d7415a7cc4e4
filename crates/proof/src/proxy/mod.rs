//! A TCP proxy that injects faults.

mod control;
mod handler;
mod link;
mod pump;

pub use {
    control::{Control, Faults, Hold, LinkId, Opened},
    handler::FaultProxy,
};
