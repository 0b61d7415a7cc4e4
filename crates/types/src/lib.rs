//! Identifiers, measures and outcome types that every celerystage crate shares.

mod id;
mod measure;
mod outcome;

pub use {
    id::{
        AttemptId, ClassId, EndpointId, Epoch, Incarnation, KeyDigest, ModelId, OperatorId, OrgId,
        ParseIdError, PartId, RequestId, RouteId, ServiceId, Version, VmId, ZoneId,
    },
    measure::{Bytes, ParseMeasureError, PerSecond, Tier, Tokens},
    outcome::{Attempt, Reason, Refusal, Verdict},
};
