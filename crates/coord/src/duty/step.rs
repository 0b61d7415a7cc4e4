//! What a VM that contends for the duty lease does next.

use {super::DutyEntry, std::time::Duration};

/// Next action of a VM that contends for the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyStep {
    /// Do nothing for this long.
    Wait(Duration),
    /// Append this entry, on condition that the log ends at the offset.
    Append(DutyEntry, u64),
}
