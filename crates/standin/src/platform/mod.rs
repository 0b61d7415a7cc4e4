//! Stand-in for the platform: log, VM list, endpoint list, orders, usage reports, and faults.

mod control;
mod handler;
mod state;

pub use {
    control::{PlatformCommand, PlatformFaults, ReceivedCalls, ReceivedOrder, ReceivedReport},
    handler::Platform,
};
