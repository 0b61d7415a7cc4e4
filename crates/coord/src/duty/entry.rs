//! An entry of the duty log: a record, and a trailer that makes it understood by itself.

use {
    super::DutyRecord,
    eyre::Result,
    serde::{Deserialize, Serialize},
    types::{Epoch, Era},
};

/// What each record tells of its writer's tenure, so that one record is enough to know the holder,
/// whatever the log has dropped before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trailer {
    /// Fencing token of the tenure.
    pub epoch: Epoch,
    /// Number of the record among those of its process.
    #[serde(default)]
    pub serial: u64,
    /// Era of the store that it was written for.
    #[serde(default)]
    pub era: Era,
    /// Usage windows below this one may have been sealed.
    #[serde(default)]
    pub next_window: u64,
}

/// A record as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyEntry {
    /// The record.
    pub record: DutyRecord,
    /// The trailer; `None` in records of releases that didn't write it.
    pub trailer: Option<Trailer>,
}

impl DutyEntry {
    /// Encodes the entry. Earlier releases ignore what follows the record.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = rmp_serde::to_vec(&self.record)?;
        if let Some(trailer) = &self.trailer {
            rmp_serde::encode::write_named(&mut bytes, trailer)?;
        }
        Ok(bytes)
    }

    /// Decodes an entry; unknown fields of the trailer are skipped.
    pub fn decode(mut bytes: &[u8]) -> Result<Self> {
        let record = rmp_serde::from_read(&mut bytes)?;
        let trailer = match bytes.is_empty() {
            true => None,
            false => Some(rmp_serde::from_slice(bytes)?),
        };
        Ok(Self { record, trailer })
    }
}

impl From<DutyRecord> for DutyEntry {
    fn from(record: DutyRecord) -> Self {
        Self {
            record,
            trailer: None,
        }
    }
}
