//! Identifiers: text ids, numeric ids and the digest of a caller's key.

mod digest;
mod number;
mod part;
mod request;
mod text;

pub use {
    digest::KeyDigest,
    number::{Epoch, Incarnation, Version},
    part::PartId,
    request::RequestId,
    text::{
        AttemptId, ClassId, EndpointId, ModelId, OperatorId, OrgId, ParseIdError, RouteId,
        ServiceId, VmId, ZoneId,
    },
};
