//! A TCP proxy that injects faults.

mod control;
mod handler;
mod link;
mod pump;

pub use {
    control::{HeldDirection, LinkFaults, LinkId, OpenedLink, ProxyCommand},
    handler::FaultProxy,
};
