//! Autoscaling: decides how many endpoints each availability zone needs, and folds the log of
//! orders. No I/O.

mod orders;
mod pools;
mod service;

pub use {
    orders::{OpenOrder, OrderLedger, OrderOutcome, OrderRecord},
    pools::{Attainment, Demand, PoolSizer, ScalingRules, ZonePlanner, ZoneView},
    service::{EngineCounts, ScaleOrder, ScalingBounds, ServiceSizer, ServiceView},
};
