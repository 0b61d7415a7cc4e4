//! The brief's two systems, scaled to one machine.

mod config;
mod load;
mod site;

pub use site::{Site, SiteKind};
pub(crate) use {load::Part, site::ClassSpec};
