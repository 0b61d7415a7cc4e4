//! What lives as long as a request.

mod attempt;
mod job;
mod plain;
mod reply;
mod slot;
mod stream;
mod take;

pub(crate) use {
    job::Job,
    plain::run_plain,
    reply::Reply,
    slot::Slot,
    stream::{StreamEnd, run_stream},
    take::take,
};
