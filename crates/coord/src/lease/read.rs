//! What one read of the lease stream shows.

use {
    super::{LeaseId, LeaseRecord},
    crate::ReadOutcome,
    ports::{PlatformError, Record},
    serde::Deserialize,
};

/// A record that another release may have written.
pub(super) struct UnknownRecord {
    pub(super) offset: u64,
    /// Lease that the record is about, if that can be decoded.
    lease: Option<LeaseId>,
}

impl UnknownRecord {
    /// Whether the record may change `lease`.
    pub(super) fn may_concern(&self, lease: &LeaseId) -> bool {
        self.lease.as_ref().is_none_or(|l| l == lease)
    }
}

/// Result of one read.
pub(super) enum LeaseRead {
    Failed,
    /// The records below this offset are lost.
    Lost(u64),
    /// The records, with the offsets of those that can be decoded.
    Records(Vec<Result<(u64, LeaseRecord), UnknownRecord>>),
}

#[derive(Deserialize)]
struct LeaseOnly {
    lease: LeaseId,
}

impl LeaseRead {
    /// Decodes the result of a read, and logs what cannot be used.
    pub(super) fn decode(outcome: Result<ReadOutcome, PlatformError>) -> Self {
        match outcome {
            Ok(ReadOutcome::Records(records)) => Self::decode_records(&records),
            Ok(ReadOutcome::Lost(first)) => Self::Lost(first),
            Err(e) => {
                log::warn!(error:% = e; "cannot read the lease stream");
                Self::Failed
            }
        }
    }

    fn decode_records(records: &[Record]) -> Self {
        let mut decoded = Vec::with_capacity(records.len());
        let mut first_error = None;
        for Record { offset, data, .. } in records {
            decoded.push(match serde_json::from_str(data) {
                Ok(record) => Ok((*offset, record)),
                Err(e) => {
                    first_error.get_or_insert((*offset, e));
                    let lease = serde_json::from_str::<LeaseOnly>(data);
                    Err(UnknownRecord {
                        offset: *offset,
                        lease: lease.ok().map(|l| l.lease),
                    })
                }
            });
        }
        if let Some((offset, error)) = first_error {
            let count = decoded.iter().filter(|r| r.is_err()).count();
            log::error!(offset = offset, records = count, error:% = error; "cannot decode lease records");
        }
        Self::Records(decoded)
    }
}
