//! A TCP proxy that injects faults.

mod connection;
mod control;
mod handler;
mod link;

pub use {
    control::{HeldDirection, LinkFaults, LinkId, OpenedLink, ProxyCommand},
    handler::FaultProxy,
};
