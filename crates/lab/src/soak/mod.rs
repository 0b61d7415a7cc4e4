//! Soak test: mixed load with random faults, then checks of the invariants.

mod faults;
mod report;
mod run;

pub use {
    report::SoakReport,
    run::{SoakPlan, run_soak},
};
