//! The two reference systems of the project's brief, scaled down to one machine.

mod config;
mod site;
mod traffic;

pub use site::{Site, SiteKind};
pub(crate) use {site::ClassSpec, traffic::ClassRole};
