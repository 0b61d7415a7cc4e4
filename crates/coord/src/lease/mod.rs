//! Leases on the log: records, their fold, one contender's decisions, and the driver.

mod contender;
mod handle;
mod manager;
mod record;
mod state;
mod table;
mod timing;

pub use {
    contender::{Contender, LeaseDecision},
    handle::LeaseHandle,
    manager::LeaseManager,
    record::{Holder, LeaseBase, LeaseId, LeaseRecord, LeaseStep},
    state::{LeaseOwnership, LeaseState},
    table::LeaseTable,
    timing::LeaseTiming,
};
