//! Identifiers, measures and outcome types that every celerystage crate shares.

mod id;
mod measure;
mod outcome;

pub use {
    id::{
        ClassId, EndpointId, Epoch, Incarnation, KeyDigest, ModelId, OperatorId, OrgId,
        ParseIdError, RequestId, RouteId, Version, VmId, ZoneId,
    },
    measure::{Bytes, ParseMeasureError, PerSecond, Tier, Tokens},
    outcome::{Attempt, Reason, Refusal, Verdict},
};
