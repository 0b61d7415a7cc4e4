//! Sizes the endpoint pools of one availability zone by demand.

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
