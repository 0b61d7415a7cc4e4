//! The endpoints that this VM knows of.

mod endpoint;
mod history;
mod registry;

pub(crate) use history::{History, ListChange};
pub use {
    endpoint::Endpoint,
    registry::{Registry, RegistryChange},
};
