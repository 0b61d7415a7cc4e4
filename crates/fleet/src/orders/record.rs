//! Records of the order stream.

use {
    ports::{Order, OrderId},
    serde::{Deserialize, Serialize},
    types::{Epoch, VmId, ZoneId},
};

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Carried out.
    Met,
    /// Refused by the platform, without effect.
    Refused,
}

/// A record of the order stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderRecord {
    /// A new holder of the zone's lease has begun to read. Later intents with a lower fencing number
    /// are void.
    Takeover {
        /// Availability zone.
        zone: ZoneId,
        /// Who took over.
        sender: VmId,
        /// Fencing number of its lease.
        epoch: Epoch,
    },
    /// An order that is about to be sent.
    Intent(Order),
    /// The end of an order.
    Result {
        /// Identifier of the order.
        id: OrderId,
        /// What became of it.
        outcome: OrderOutcome,
    },
}
