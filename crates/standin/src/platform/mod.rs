//! Stand-in of the platform: log, VM list, endpoint list, ordering and usage reports, with faults.

mod control;
mod handler;
mod state;

pub use {
    control::{PlatformCommand, PlatformFaults, ReceivedCalls, ReceivedOrder, ReceivedReport},
    handler::Platform,
};
