//! The duty lease: a lease on a log with conditional appends.
//!
//! A record is appended only if the log still ends where the writer last saw it end. The log
//! thereby orders the holders, and no other message is needed. The offset of a claim is its fencing
//! token.

mod entry;
mod lease;
mod record;

pub use {
    entry::{DutyEntry, Trailer},
    lease::{DutyLease, DutyStep, DutyTiming},
    record::{DutyRecord, SealedWindow},
};
