//! Identifiers, quantities and request outcomes that all celerystage crates share.

mod id;
mod outcome;
mod quantity;

pub use {
    id::{
        AttemptId, ClassId, EndpointId, Epoch, Era, Incarnation, KeyDigest, LogPosition, ModelId,
        OperatorId, OrgId, ParseIdError, ParsePositionError, PromptPartId, Release, RequestId,
        RouteId, ServiceId, Version, VmId, ZoneId,
    },
    outcome::{Attempts, Reason, Refusal, Verdict},
    quantity::{Bytes, ParseQuantityError, PerSecond, Tier, Tokens, Urgency},
};
