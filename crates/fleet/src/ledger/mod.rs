//! The order stream: intents before they are sent, and what became of them.

mod fold;
mod record;

pub use {
    fold::{Ledger, OpenOrder},
    record::{OrderOutcome, OrderRecord},
};
