//! Orders that start or release endpoints.

use {
    serde::{Deserialize, Serialize},
    types::{EndpointId, Epoch, ModelId, RequestId, VmId, ZoneId},
};

/// Idempotency key of an order: repeating the order has no further effect.
pub type OrderId = RequestId;

/// The action of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Start one endpoint.
    Start {
        /// Model or service that it offers.
        serves: ModelId,
        /// Whether to use spot capacity, which may be evicted at short notice.
        cheap: bool,
    },
    /// Shut down one endpoint after its running requests have finished.
    Release {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// An order for one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier.
    pub id: OrderId,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// The VM that sends it.
    pub sender: VmId,
    /// Epoch of the sender's lease, as fencing token.
    pub epoch: Epoch,
    /// The action.
    pub action: OrderAction,
}
