//! A lease on a log with conditional appends.
//!
//! A record is appended only if the log ends where the writer last saw it end, so holders are ordered
//! by the log itself: no other message is needed. The offset of a claim is its fencing number.

mod lease;
mod record;

pub use {
    lease::{DutyLease, DutyStep, DutyTiming},
    record::{DutyRecord, SealedWindow},
};
