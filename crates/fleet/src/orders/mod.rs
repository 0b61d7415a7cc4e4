//! Order stream: intents, which are logged before orders are sent, and their results.

mod ledger;
mod record;

pub use {
    ledger::{OpenOrder, OrderLedger},
    record::{OrderOutcome, OrderRecord},
};
