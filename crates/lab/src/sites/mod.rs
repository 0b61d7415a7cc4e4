//! The brief's two systems, scaled to one machine.

mod config;
mod site;
mod traffic;

pub use site::{Site, SiteKind};
pub(crate) use {site::ClassSpec, traffic::Part};
