//! The permission to act as the duty holder.

use {clock::Instant, types::Epoch};

/// Permission to act as the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyPermit {
    /// Fencing token of the calls.
    pub epoch: Epoch,
    /// When it runs out: no call may be sent from then on.
    pub until: Instant,
}
