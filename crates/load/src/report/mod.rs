//! Figures by class and organisation.

mod figures;
mod table;

pub use figures::{ClassStats, LoadSummary, OrgStats};
