//! Record types of the lease stream.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::fmt,
    types::{Epoch, Incarnation, RequestId, VmId, ZoneId},
};

/// Identifies a lease: a role, in one availability zone or in the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// Role of the holder.
    pub role: CompactString,
    /// Availability zone; absent for a lease of the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
}

impl LeaseId {
    /// Returns the lease of `role` in one availability zone.
    pub fn zonal(role: impl Into<CompactString>, zone: ZoneId) -> Self {
        Self {
            role: role.into(),
            zone: Some(zone),
        }
    }

    /// Returns the lease of `role` in the whole fleet.
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
    /// VM that the process runs on.
    pub vm: VmId,
    /// Incarnation of the process, which tells its restarts apart.
    pub incarnation: Incarnation,
}

/// Precondition of a record: the lease's last valid record must be one of these, otherwise the
/// record is invalid.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBase {
    /// Offsets that the last valid record may have.
    #[serde(default)]
    pub after: Vec<u64>,
    /// The last valid record may also be any below this offset: the sender found those lost to
    /// retention.
    #[serde(default)]
    pub before: u64,
}

impl LeaseBase {
    /// Returns the precondition that the last valid record is the one at `offset`.
    pub fn after_record(offset: u64) -> Self {
        Self {
            after: vec![offset],
            before: 0,
        }
    }

    /// Whether the record at `offset` fulfils the precondition as the last valid record.
    pub fn covers(&self, offset: u64) -> bool {
        offset < self.before || self.after.contains(&offset)
    }
}

/// What a record does to its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseStep {
    /// Claims the lease; the record's offset becomes the fencing token.
    Claim,
    /// Renews the lease with this fencing token.
    Renew(Epoch),
    /// Releases the lease with this fencing token.
    Release(Epoch),
}

/// A record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Identifies the record, so that its sender recognises it in the log.
    pub id: RequestId,
    /// Lease that the record is about.
    pub lease: LeaseId,
    /// Process that sent the record.
    pub holder: Holder,
    /// Precondition under which the record is valid.
    pub base: LeaseBase,
    /// Effect of the record.
    pub step: LeaseStep,
}
