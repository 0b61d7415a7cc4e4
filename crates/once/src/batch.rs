//! The operations of one record of the claim stream.

use {
    super::{ClaimKey, ClaimOp},
    compact_str::CompactString,
    serde::Deserialize,
    serde_json::value::RawValue,
    std::collections::BTreeMap,
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
        let Ok(values) = serde_json::from_str::<Vec<&RawValue>>(data) else {
            return Self {
                ops: Vec::new(),
                unreadable: 1,
            };
        };
        let mut batch = Self::default();
        for value in values {
            match read_op(value.get()) {
                Some(op) => batch.ops.push(op),
                None => batch.unreadable += 1,
            }
        }
        batch
    }
}

fn read_op(text: &str) -> Option<ReadOp> {
    if let Ok(op) = serde_json::from_str(text) {
        return Some(ReadOp::Known(op));
    }
    // An operation is an object with a member that is named for its kind.
    let members: BTreeMap<CompactString, &RawValue> = serde_json::from_str(text).ok()?;
    let mut members = members.values();
    let UnknownOp { key, request } =
        members.find_map(|fields| serde_json::from_str(fields.get()).ok())?;
    Some(ReadOp::Unknown(key, request))
}
