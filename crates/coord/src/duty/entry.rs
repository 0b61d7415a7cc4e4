//! An entry of the duty log: a record, and the tenure that it belongs to.

use {
    super::DutyRecord,
    eyre::Result,
    serde::{Deserialize, Serialize},
    types::Epoch,
};

/// The tenure of a holder. Each of its records repeats it, so that one record is enough to know the
/// holder, whatever the log has dropped before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Fencing token of the tenure.
    pub epoch: Epoch,
}

/// A record as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyEntry {
    /// The record.
    pub record: DutyRecord,
    /// The tenure; `None` in records of releases that didn't write it.
    pub tenure: Option<Tenure>,
}

impl DutyEntry {
    /// Encodes the entry. The tenure follows the record: earlier releases ignore what follows.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = rmp_serde::to_vec(&self.record)?;
        if let Some(tenure) = &self.tenure {
            rmp_serde::encode::write_named(&mut bytes, tenure)?;
        }
        Ok(bytes)
    }

    /// Decodes an entry; unknown fields of the tenure are skipped.
    pub fn decode(mut bytes: &[u8]) -> Result<Self> {
        let record = rmp_serde::from_read(&mut bytes)?;
        let tenure = match bytes.is_empty() {
            true => None,
            false => Some(rmp_serde::from_slice(bytes)?),
        };
        Ok(Self { record, tenure })
    }
}

impl From<DutyRecord> for DutyEntry {
    fn from(record: DutyRecord) -> Self {
        Self {
            record,
            tenure: None,
        }
    }
}
