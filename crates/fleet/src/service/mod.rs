//! Numbers of engines in each availability zone, by work and price.
//!
//! Answers these loads: traffic that jumps by a factor within seconds; all cheap engines of a zone
//! reclaimed at once, with none to be had for a while. Cheap engines carry what the work needs beyond
//! a floor of steady ones; steady ones stand in while cheap ones are missing.

mod sizer;
mod view;

pub use {
    sizer::ServiceSizer,
    view::{EngineCounts, ScaleOrder, ScalingBounds, ServiceView},
};
