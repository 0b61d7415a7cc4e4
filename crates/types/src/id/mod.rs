//! Identifiers: text ids, numeric ids and the digest of a caller's key.

mod digest;
mod number;
mod request;
mod text;

pub use {
    digest::KeyDigest,
    number::{Epoch, Incarnation, Version},
    request::RequestId,
    text::{ClassId, EndpointId, ModelId, OperatorId, OrgId, ParseIdError, RouteId, VmId, ZoneId},
};
