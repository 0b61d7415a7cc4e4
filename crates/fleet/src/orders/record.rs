//! Records of the order stream.

use {
    ports::{Order, OrderId},
    serde::{Deserialize, Serialize},
    types::{Epoch, VmId, ZoneId},
};

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Carried out.
    Met,
    /// Refused by the platform, with no effect.
    Refused,
}

/// A record of the order stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderRecord {
    /// A new holder of the zone's lease has started to read the stream. Later intents with a lower
    /// fencing token are void.
    Takeover {
        /// Availability zone.
        zone: ZoneId,
        /// VM that took over.
        sender: VmId,
        /// Fencing token of its lease.
        epoch: Epoch,
    },
    /// An order that is about to be sent.
    Intent(Order),
    /// Result of an order.
    Result {
        /// Identifier of the order.
        id: OrderId,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
}
