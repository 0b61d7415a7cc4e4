//! Record types of the duty log.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    types::{Incarnation, OrgId, VmId},
};

/// Usage figures of a window, fixed on the log before they are reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedWindow {
    /// Number of the window.
    pub window: u64,
    /// Requests by organisation.
    pub counts: BTreeMap<OrgId, u64>,
}

/// A record of the duty log, in the form that all releases read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyRecord {
    /// A VM claims the lease, or renews it.
    Claim(VmId, Incarnation),
    /// The holder renews the lease; earlier releases wrote it.
    Renew(VmId, Incarnation),
    /// The holder fixes the figures of a window, which renews the lease too.
    Seal(VmId, Incarnation, SealedWindow),
}

impl DutyRecord {
    /// Returns the VM and incarnation that wrote the record.
    pub fn writer(&self) -> (&VmId, Incarnation) {
        match self {
            Self::Claim(vm, incarnation)
            | Self::Renew(vm, incarnation)
            | Self::Seal(vm, incarnation, _) => (vm, *incarnation),
        }
    }
}
