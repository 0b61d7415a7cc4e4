//! At-most-once execution of requests that carry an idempotency key, over all entries, by claims on the
//! platform's log. The first claim of a key in log order is the only one that may be executed.

mod claimer;
mod record;
mod table;

pub use {
    claimer::{ClaimError, ClaimResult, Claimer},
    record::{ClaimKey, ClaimOp, Fingerprint, StoredResponse},
    table::{ClaimState, ClaimTable},
};
