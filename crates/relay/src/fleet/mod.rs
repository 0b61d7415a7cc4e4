//! The endpoints that this VM knows of.

mod endpoint;
mod registry;

pub use {
    endpoint::Endpoint,
    registry::{Registry, RegistryChange},
};
