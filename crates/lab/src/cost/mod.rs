//! Cost of the path: what an entry adds to a request in processor time and latency.

mod measure;
mod report;

pub use {
    measure::{CostPlan, measure_cost},
    report::{CostReport, LoadCost},
};
