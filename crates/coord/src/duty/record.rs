//! Records of a seat's log.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    types::{Incarnation, OrgId, VmId},
};

/// Figures that were fixed before they were sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedWindow {
    /// Number of the window.
    pub window: u64,
    /// Requests by organisation.
    pub counts: BTreeMap<OrgId, u64>,
}

/// A record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyRecord {
    /// A VM takes the seat.
    Claim(VmId, Incarnation),
    /// The holder keeps the seat.
    Renew(VmId, Incarnation),
    /// The holder fixes the figures of a window; it renews too.
    Seal(VmId, Incarnation, SealedWindow),
}

impl DutyRecord {
    /// Who wrote the record.
    pub fn writer(&self) -> (&VmId, Incarnation) {
        match self {
            Self::Claim(vm, inc) | Self::Renew(vm, inc) | Self::Seal(vm, inc, _) => (vm, *inc),
        }
    }
}
