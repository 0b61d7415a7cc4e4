//! The operations of one record of the claim stream.

use {
    super::{ClaimKey, ClaimOp},
    serde::Deserialize,
    serde_json::{Map, Value},
    types::RequestId,
};

/// An operation whose kind, or other fields, this release does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
struct UnknownOp {
    key: ClaimKey,
    request: RequestId,
}

/// An operation as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReadOp {
    /// An operation of this release.
    Known(ClaimOp),
    /// An unknown one of this request on this key. The request may be executed under it.
    Unknown(ClaimKey, RequestId),
}

/// The operations of a record, and how many of them could not be read at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ClaimBatch {
    pub(crate) ops: Vec<ReadOp>,
    pub(crate) unreadable: usize,
}

impl ClaimBatch {
    /// Decodes a record. What cannot be read of it does not affect the rest.
    pub(crate) fn decode(data: &str) -> Self {
        let Ok(values) = serde_json::from_str::<Vec<Value>>(data) else {
            return Self {
                ops: Vec::new(),
                unreadable: 1,
            };
        };
        let mut batch = Self::default();
        for value in values {
            match read_op(value) {
                Some(op) => batch.ops.push(op),
                None => batch.unreadable += 1,
            }
        }
        batch
    }
}

fn read_op(value: Value) -> Option<ReadOp> {
    if let Ok(op) = ClaimOp::deserialize(&value) {
        return Some(ReadOp::Known(op));
    }
    // An operation is an object with one member, which is named for its kind.
    let members: Map<String, Value> = serde_json::from_value(value).ok()?;
    let (_, fields) = members.into_iter().next()?;
    let UnknownOp { key, request } = serde_json::from_value(fields).ok()?;
    Some(ReadOp::Unknown(key, request))
}
