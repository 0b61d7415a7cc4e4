//! How many endpoints an availability zone wants, and the record of its orders. No I/O.

mod ledger;
mod size;
mod zone;

pub use {
    ledger::{Ledger, OpenOrder, OrderOutcome, OrderRecord},
    size::{Attained, Demand, Planner, Rules, Sizer, ZoneView},
    zone::{PoolCount, SizeBounds, SizeOrder, SizeView, ZoneSizer},
};
