//! At-most-once execution, across all entries, of requests that carry an idempotency key. Requests
//! claim their key on the platform's log; only the first claim of a key in log order may be
//! executed.

mod batch;
mod claimer;
mod record;
mod table;

pub use {
    claimer::{ClaimError, ClaimResult, Claimer},
    record::{ClaimKey, ClaimOp, Fingerprint, StoredResponse},
    table::{ClaimState, ClaimTable},
};
