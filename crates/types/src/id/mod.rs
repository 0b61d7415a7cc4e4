//! Identifiers: text ids, numeric ids and digests of callers' keys.

mod digest;
mod log_position;
mod number;
mod prompt_part;
mod request;
mod text;

pub use {
    digest::KeyDigest,
    log_position::{LogPosition, ParsePositionError},
    number::{Epoch, Era, Incarnation, Version},
    prompt_part::PromptPartId,
    request::RequestId,
    text::{
        AttemptId, ClassId, EndpointId, ModelId, OperatorId, OrgId, ParseIdError, Release, RouteId,
        ServiceId, VmId, ZoneId,
    },
};
