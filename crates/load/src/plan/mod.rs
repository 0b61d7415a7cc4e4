//! What load is made: flows, and the arrivals that a seed makes of them.

mod arrival;
mod load_plan;

pub use {
    arrival::Arrival,
    load_plan::{Flow, LengthDistribution, LoadPlan, RequestKind},
};
