//! The processes that contend for the duty lease.

use {
    std::time::Duration,
    types::{Incarnation, VmId},
};

/// The process that contends for the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyMember {
    /// Its VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Spreads the claims of VMs that see the lease expire at the same time.
    pub jitter: Duration,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}
