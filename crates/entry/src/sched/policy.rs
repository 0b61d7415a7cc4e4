//! Scheduling policies, as chosen in the settings.

use {
    admit::{FifoQueue, Queue, TieredQueue},
    route::{Adaptive, LeastOutstanding, Picker, RoundRobin},
    serde::Deserialize,
};

/// Decides which waiting request runs next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// First come, first served.
    Fifo,
    /// Strict priority between tiers, fair sharing between organisations, early refusal of requests
    /// that would miss their deadline.
    #[default]
    Tiered,
}

/// Decides which endpoint takes a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PickerPolicy {
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests in flight.
    LeastOutstanding,
    /// By load, health, cached prefixes and price.
    #[default]
    Adaptive,
}

/// Policies of a scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Order of waiting requests.
    pub queue: QueuePolicy,
    /// Choice of endpoint.
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
