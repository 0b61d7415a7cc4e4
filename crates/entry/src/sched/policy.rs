//! Policies by name.

use {
    admit::{FifoQueue, Queue, TieredQueue},
    route::{Adaptive, LeastOutstanding, Picker, RoundRobin},
    serde::Deserialize,
};

/// Which waiting request runs next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// First come, first served.
    Fifo,
    /// Strict tiers, fair shares, early refusal.
    #[default]
    Tiered,
}

/// Which endpoint takes a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PickerPolicy {
    /// One after the other.
    RoundRobin,
    /// Fewest requests in flight.
    LeastOutstanding,
    /// By load, health, cached prefixes and price.
    #[default]
    Adaptive,
}

/// Policies of a scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Which waiting request runs next.
    pub queue: QueuePolicy,
    /// Which endpoint takes a request.
    pub picker: PickerPolicy,
}

impl PolicySettings {
    pub(crate) fn queue(&self) -> Box<dyn Queue> {
        match self.queue {
            QueuePolicy::Fifo => Box::new(FifoQueue::default()),
            QueuePolicy::Tiered => Box::new(TieredQueue::default()),
        }
    }

    pub(crate) fn picker(&self) -> Box<dyn Picker> {
        match self.picker {
            PickerPolicy::RoundRobin => Box::new(RoundRobin::default()),
            PickerPolicy::LeastOutstanding => Box::new(LeastOutstanding::default()),
            PickerPolicy::Adaptive => Box::new(Adaptive::default()),
        }
    }
}
