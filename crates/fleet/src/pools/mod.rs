//! How many endpoints of which kind are wanted.

mod demand;
mod planner;
mod rules;
mod sizer;

pub use {
    demand::{Attainment, Demand},
    planner::{ZonePlanner, ZoneView},
    rules::ScalingRules,
    sizer::PoolSizer,
};
