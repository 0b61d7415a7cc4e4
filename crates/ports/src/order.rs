//! Orders for endpoints.

use {
    serde::{Deserialize, Serialize},
    types::{EndpointId, Epoch, ModelId, RequestId, VmId, ZoneId},
};

/// Identifies an order, so that a repeated one has no further effect.
pub type OrderId = RequestId;

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Starts one endpoint.
    Start {
        /// Model or service that it is to offer.
        serves: ModelId,
        /// Whether it may be evicted at short notice.
        cheap: bool,
    },
    /// Ends one endpoint after its running work.
    Release {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier.
    pub id: OrderId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Who sends it.
    pub sender: VmId,
    /// Fencing number of the sender's lease.
    pub epoch: Epoch,
    /// What is asked for.
    pub action: OrderAction,
}
