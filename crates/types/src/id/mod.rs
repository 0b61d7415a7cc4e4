//! Identifiers: text ids, numeric ids and digests of callers' keys.

mod digest;
mod number;
mod prompt_part;
mod request;
mod text;

pub use {
    digest::KeyDigest,
    number::{Epoch, Incarnation, Version},
    prompt_part::PromptPartId,
    request::RequestId,
    text::{
        AttemptId, ClassId, EndpointId, ModelId, OperatorId, OrgId, ParseIdError, Release, RouteId,
        ServiceId, VmId, ZoneId,
    },
};
