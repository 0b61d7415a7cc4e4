//! Load plans: flows of requests, and the arrivals generated from them with a seed.

mod arrival;
mod load_plan;

pub use {
    arrival::Arrival,
    load_plan::{Flow, LengthDistribution, LoadPlan, RequestKind},
};
