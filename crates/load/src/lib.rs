//! Load generator: open-loop arrivals from a seed, checked answers, latencies by class.

mod drive;
mod plan;
mod report;

pub use {
    drive::{Driver, Outcome, Sample},
    plan::{Arrival, Flow, Lengths, Plan, Work},
    report::{ClassRow, OrgRow, Report},
};
