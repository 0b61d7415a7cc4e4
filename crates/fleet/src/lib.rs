//! How many endpoints an availability zone wants, and the record of its orders. No I/O.

mod ledger;
mod size;

pub use {
    ledger::{Ledger, OpenOrder, OrderOutcome, OrderRecord},
    size::{Attained, Demand, Planner, Rules, Sizer, ZoneView},
};
