//! The duty lease: a lease on a log with conditional appends.
//!
//! A record is appended only if the log still ends where the writer last saw it end. The log
//! thereby orders the holders, and no other message is needed. Each record names its writer as the
//! holder, and the fencing token of its tenure.
//!
//! A store that comes back from an older copy starts a new era: records are lost, and offsets are
//! given out again. A holder acts only on records of the era that it has read, and a claim waits
//! for the holders that don't know of the new era yet.

mod entry;
mod epoch_history;
mod holder;
mod lease;
mod log_change;
mod member;
mod permit;
mod record;
mod sealed_windows;
mod step;
mod timing;

pub use {
    entry::{DutyEntry, Trailer},
    lease::DutyLease,
    log_change::LogChange,
    member::DutyMember,
    permit::DutyPermit,
    record::{DutyRecord, SealedWindow},
    step::DutyStep,
    timing::DutyTiming,
};
