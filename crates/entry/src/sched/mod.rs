//! Requests that wait for endpoints, and endpoints' slots.

mod group;
mod lease;
mod local;
mod policy;

pub(crate) use {
    lease::{Acquiring, Ask, Dispatch, Lease, Slot},
    local::Scheduler,
    policy::PolicySettings,
};
