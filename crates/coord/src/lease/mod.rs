//! Leases on the log: records, their fold, one contender's decisions, and the driver.

mod contender;
mod keeper;
mod record;
mod state;
mod table;
mod times;

pub use {
    contender::{Contender, Decision},
    keeper::Keeper,
    record::{Base, Holder, LeaseId, LeaseRecord, LeaseStep},
    state::{LeaseMark, LeaseState},
    table::LeaseTable,
    times::LeaseTimes,
};
