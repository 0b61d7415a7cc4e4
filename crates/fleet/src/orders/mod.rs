//! The order stream: intents before they are sent, and what became of them.

mod ledger;
mod record;

pub use {
    ledger::{OpenOrder, OrderLedger},
    record::{OrderOutcome, OrderRecord},
};
