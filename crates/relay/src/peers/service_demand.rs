//! Slot demand at one service.

use {
    route::{OrgRow, SlotDemand},
    serde::{Deserialize, Serialize},
    types::ServiceId,
};

/// Slot demand of the callers of one or more VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServiceDemand {
    pub(crate) service: ServiceId,
    /// Milliseconds for each second, by urgency.
    pub(crate) slots: SlotDemand,
    /// The organisations with the highest demand, while slots are about to be short.
    pub(crate) orgs: Vec<OrgRow>,
}
