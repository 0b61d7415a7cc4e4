//! Sizes the engines of a service in each availability zone by load and price.
//!
//! Designed for traffic that multiplies within seconds, and for the loss of all cheap engines of a
//! zone at once with no replacements available for a while. A minimum of steady engines is kept and
//! cheap engines serve the rest of the load; steady ones substitute for cheap ones that are
//! missing.

mod evacuated;
mod sizer;
mod view;

pub use {
    sizer::ServiceSizer,
    view::{EngineCounts, ScaleOrder, ScalingBounds, ServiceView},
};
