//! How many endpoints an availability zone wants, and the record of its orders. No I/O.

mod orders;
mod pools;
mod service;

pub use {
    orders::{OpenOrder, OrderLedger, OrderOutcome, OrderRecord},
    pools::{Attainment, Demand, PoolSizer, ScalingRules, ZonePlanner, ZoneView},
    service::{EngineCounts, ScaleOrder, ScalingBounds, ServiceSizer, ServiceView},
};
