//! Requests of callers, from acceptance to the end of the response.

mod accept;
mod attempt;
mod buffered;
mod caller_stream;
mod carried_request;
mod carry;
mod close_check;
mod endpoint_call;
mod endpoint_target;
mod path;
mod response;
mod routed_request;
mod silence_watch;
mod slot_lease;
mod start_proof;
mod stream;

pub(crate) use {
    accept::{accept, draw_of},
    buffered::run_buffered,
    carried_request::CARRY_PATH,
    carry::{CARRY_OVERHEAD, serve_carried},
    endpoint_target::EndpointTarget,
    path::{Probe, probe},
    response::Response,
    routed_request::{RoutedRequest, StreamOrigin},
    slot_lease::SlotLease,
    stream::{StreamOutcome, run_stream},
};
