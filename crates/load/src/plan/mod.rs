//! What load is made: flows, and the arrivals that a seed makes of them.

mod arrival;
mod flow;

pub use {
    arrival::Arrival,
    flow::{Flow, LengthDistribution, LoadPlan, RequestKind},
};
