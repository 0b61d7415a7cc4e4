//! Cost of control: what a node spends when no request runs, and how long a change takes.

mod fit;
mod measure;
mod report;
mod spread;

pub use {
    fit::fit_line,
    measure::{ControlPlan, measure_control},
    report::{ControlPoint, ControlReport},
};
