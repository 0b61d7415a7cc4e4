//! How many endpoints of which kind are wanted.

mod demand;
mod planner;
mod rules;
mod sizer;

pub use {
    demand::{Attained, Demand},
    planner::{Planner, ZoneView},
    rules::Rules,
    sizer::Sizer,
};
