//! The endpoints that this VM knows of.

mod change_history;
mod endpoint;
mod registry;

pub(crate) use change_history::{ChangeHistory, EndpointChange};
pub use {
    endpoint::Endpoint,
    registry::{Registry, RegistryChange},
};
