//! Records of the lease stream.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::fmt,
    types::{Epoch, Incarnation, RequestId, VmId, ZoneId},
};

/// What a lease is for: a role, in one availability zone or in the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// Role of the holder.
    pub role: CompactString,
    /// Availability zone; the whole fleet when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
}

impl LeaseId {
    /// A lease of `role` in one availability zone.
    pub fn zonal(role: impl Into<CompactString>, zone: ZoneId) -> Self {
        Self {
            role: role.into(),
            zone: Some(zone),
        }
    }

    /// A lease of `role` in the whole fleet.
    pub fn global(role: impl Into<CompactString>) -> Self {
        Self {
            role: role.into(),
            zone: None,
        }
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.zone {
            Some(zone) => write!(f, "{}/{zone}", self.role),
            None => f.write_str(&self.role),
        }
    }
}

/// A process that may hold leases.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// VM that it runs on.
    pub vm: VmId,
    /// Start of the process.
    pub incarnation: Incarnation,
}

/// Which states of a lease a record follows on from. Any other state makes the record void.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBase {
    /// The last valid record has one of these offsets,
    #[serde(default)]
    pub after: Vec<u64>,
    /// or one below this, when the sender could not read the oldest records any more.
    #[serde(default)]
    pub before: u64,
}

impl LeaseBase {
    /// Follows on from one record.
    pub fn on(offset: u64) -> Self {
        Self {
            after: vec![offset],
            before: 0,
        }
    }

    /// Whether the record at `offset` is one that this follows on from.
    pub fn covers(&self, offset: u64) -> bool {
        offset < self.before || self.after.contains(&offset)
    }
}

/// What a record does to its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseStep {
    /// Takes the lease; the record's offset becomes the fencing number.
    Claim,
    /// Keeps the lease with this fencing number.
    Renew(Epoch),
    /// Ends the lease with this fencing number.
    Release(Epoch),
}

/// A record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Identifies the record, so that its sender knows it again.
    pub id: RequestId,
    /// The lease.
    pub lease: LeaseId,
    /// Who sends it.
    pub holder: Holder,
    /// What it follows on from.
    pub base: LeaseBase,
    /// What it does.
    pub step: LeaseStep,
}
