//! The cases of the review, each in the folder with its number.

mod crashed_stream;
mod cut_by_alias;
mod late_heartbeat;
mod other_service;
mod stale_after_start;
mod streams_after_restart;

use crate::{Verdict, record::Record};

/// Runs a case by its name.
pub fn run(case: &str, record: &Record, trouble: bool) -> Verdict {
    match case {
        "other-service" => other_service::run(record, trouble),
        "crashed-answer" => crashed_stream::run_plain(record, trouble),
        "crashed-stream" => crashed_stream::run(record, trouble),
        "cut-by-alias" => cut_by_alias::run(record, trouble),
        "late-heartbeat" => late_heartbeat::run(record, trouble),
        "stale-after-start" => stale_after_start::run(record, trouble),
        "streams-after-restart" => streams_after_restart::run(record, trouble),
        _ => Verdict::NotRun("no such case".into()),
    }
}
