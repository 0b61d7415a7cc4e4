//! Requests of callers, from acceptance to the end of the response.

mod accept;
mod attempt;
mod buffered;
mod response;
mod routed_request;
mod slot;
mod stream;

pub(crate) use {
    accept::accept,
    buffered::run_buffered,
    response::Response,
    routed_request::RoutedRequest,
    slot::Slot,
    stream::{StreamOutcome, run_stream},
};
