//! Soak: mixed load with random faults, then checks of everything that must hold.

mod faults;
mod report;
mod run;

pub use {
    report::SoakReport,
    run::{SoakPlan, run_soak},
};
