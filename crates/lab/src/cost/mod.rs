//! Proxy overhead: the CPU time and latency that an entry adds to a request.

mod measure;
mod report;

pub use {
    measure::{CostPlan, measure_cost},
    report::{CostReport, LoadCost},
};
