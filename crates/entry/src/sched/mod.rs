//! Requests that wait for endpoints, and endpoints' slots.

mod group;
mod home;
mod lease;
mod links;
mod local;
mod policy;
mod remote;
mod sharing;
mod slot;

pub(crate) use {
    group::Running,
    home::Home,
    lease::{Acquiring, Ask, Dispatch, Lease, Slot},
    links::{Links, Post},
    local::Scheduler,
    policy::PolicySettings,
    remote::{Homes, Remote},
    sharing::{Share, Sharing},
};
