//! Summary of a load by class and organisation.

mod load_summary;
mod table;

pub use load_summary::{ClassStats, LoadSummary, OrgStats};
