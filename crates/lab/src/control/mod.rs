//! Control-plane overhead: what a node spends without requests, and how fast changes propagate.

mod applied_versions;
mod fit;
mod measure;
mod report;

pub use {
    fit::fit_line,
    measure::{ControlPlan, measure_control},
    report::{ControlPoint, ControlReport},
};
