//! Orders that have been logged as intents and have no result yet.

use {
    super::OrderRecord,
    ports::{Order, OrderId},
    std::collections::{BTreeMap, VecDeque},
    types::{Epoch, ZoneId},
};

/// Number of ended orders that are remembered, to ignore repeats of their intents.
const MAX_ENDED: usize = 4_096;

/// An order that was logged as an intent and has no result yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenOrder {
    /// The order.
    pub order: Order,
    /// When the platform's log appended the intent, in milliseconds since the Unix epoch.
    pub since: u64,
}

/// State of the orders of all availability zones, folded from the order stream.
#[derive(Debug, Clone, Default)]
pub struct OrderLedger {
    open: BTreeMap<OrderId, OpenOrder>,
    ended: VecDeque<OrderId>,
    epochs: BTreeMap<ZoneId, Epoch>,
}

impl OrderLedger {
    /// Applies a record of the stream. Text that is not an order record is ignored.
    pub fn fold(&mut self, at_ms: u64, data: &str) {
        match serde_json::from_str(data) {
            Ok(OrderRecord::Takeover { zone, epoch, .. }) => {
                let last = self.epochs.entry(zone).or_default();
                *last = epoch.max(*last);
            }
            Ok(OrderRecord::Intent(order)) => self.record_intent(order, at_ms),
            Ok(OrderRecord::Result { id, .. }) => self.record_result(id),
            Err(_) => {}
        }
    }

    /// Opens an order. An intent that was appended after a newer lease holder took over is void:
    /// its sender's lease had expired before the order could be sent.
    fn record_intent(&mut self, order: Order, at_ms: u64) {
        let current = self.epochs.get(&order.zone);
        let void = current.is_some_and(|epoch| order.epoch < *epoch);
        if void || self.ended.contains(&order.id) {
            return;
        }
        let open = OpenOrder {
            order,
            since: at_ms,
        };
        self.open.entry(open.order.id).or_insert(open);
    }

    fn record_result(&mut self, id: OrderId) {
        if self.open.remove(&id).is_none() {
            return;
        }
        self.ended.push_back(id);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    /// Fencing token of the last lease holder that took over the zone.
    pub fn epoch(&self, zone: &ZoneId) -> Option<Epoch> {
        self.epochs.get(zone).copied()
    }

    /// Orders without a result.
    pub fn open(&self) -> impl Iterator<Item = &OpenOrder> {
        self.open.values()
    }

    /// Whether the intent of an order has been read and its result has not.
    pub fn is_open(&self, id: OrderId) -> bool {
        self.open.contains_key(&id)
    }

    /// Whether the result of an order has been read.
    pub fn is_ended(&self, id: OrderId) -> bool {
        self.ended.contains(&id)
    }
}
