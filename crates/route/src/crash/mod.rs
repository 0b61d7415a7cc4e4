//! What requests have done to endpoints: which prompt parts, and which requests, crash the endpoints
//! that run them.
//!
//! Designed for these conditions: requests that crash endpoints come at any VM, copies of one another
//! or no two alike, so that most VMs of a large fleet see one crash or none; requests that run beside them are cut as well;
//! sound requests share all their parts but one; endpoints crash for other reasons, many at once;
//! VMs join, restart and are cut off from the others.

mod crash_news;
mod crash_table;
mod quarantine_list;
mod request_hash;
mod sound_memory;
mod suspect;

pub use {
    crash_news::{CrashNews, CrashReport, QuarantineNotice, SoundNotice},
    crash_table::{CrashChange, CrashTable, EndpointStart},
    request_hash::RequestHash,
    suspect::Suspect,
};

use clock::Instant;

/// Whether `group` is a part of `suspects`.
fn contains_all(suspects: &[Suspect], group: &[Suspect]) -> bool {
    group.iter().all(|s| suspects.contains(s))
}

/// Milliseconds since `at`.
fn age_ms(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
