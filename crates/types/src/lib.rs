//! Identifiers, quantities and request outcomes that all celerystage crates share.

mod id;
mod outcome;
mod quantity;

pub use {
    id::{
        AttemptId, ClassId, EndpointId, Epoch, Incarnation, KeyDigest, ModelId, OperatorId, OrgId,
        ParseIdError, PromptPartId, Release, RequestId, RouteId, ServiceId, Version, VmId, ZoneId,
    },
    outcome::{Attempts, Reason, Refusal, Verdict},
    quantity::{Bytes, ParseQuantityError, PerSecond, Tier, Tokens, Urgency},
};
