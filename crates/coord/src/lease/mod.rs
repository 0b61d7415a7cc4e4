//! Leases on the log: record types, the state folded from them, the contender's state machine, and
//! the manager that runs contenders over the log.

mod contender;
mod handle;
mod manager;
mod read;
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
