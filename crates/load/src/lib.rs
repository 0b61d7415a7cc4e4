//! Load generator: open-loop arrivals from a seed, verified responses, latencies by class.

mod drive;
mod plan;
mod summary;

pub use {
    drive::{Driver, Outcome, Sample},
    plan::{Arrival, Flow, LengthDistribution, LoadPlan, RequestKind},
    summary::{ClassStats, LoadSummary, OrgStats},
};
