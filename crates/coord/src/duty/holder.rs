//! The holder of the duty lease.

use types::{Epoch, Era, Incarnation, VmId};

/// The holder according to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    pub(super) epoch: Epoch,
    /// Era of its newest record.
    pub(super) era: Era,
}
