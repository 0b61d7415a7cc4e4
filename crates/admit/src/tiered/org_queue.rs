//! Queue and fair-share usage of one organisation in one class.

use {
    crate::{QueuedRequest, QueuedRequestId},
    clock::Instant,
    std::collections::BTreeMap,
};

/// Order of the requests of one organisation: by deadline, then by arrival.
pub(super) type QueueKey = (Instant, QueuedRequestId);

/// Waiting requests and usage of one organisation in one class.
#[derive(Debug)]
pub(super) struct OrgQueue {
    pub(super) waiting: BTreeMap<QueueKey, QueuedRequest>,
    /// Requests dispatched and not completed yet.
    pub(super) running: u32,
    /// Generated tokens divided by weight (virtual token counter).
    pub(super) usage: f64,
    pub(super) weight: f64,
}

impl OrgQueue {
    /// An organisation without requests that starts at the given usage.
    pub(super) fn new(usage: f64) -> Self {
        Self {
            waiting: BTreeMap::new(),
            running: 0,
            usage,
            weight: 1.0,
        }
    }

    /// Usage including the expected tokens of running requests. The lowest is served next.
    pub(super) fn projected_usage(&self, cost: f64) -> f64 {
        self.usage + f64::from(self.running) * cost / self.weight
    }

    /// Waiting requests that are dispatched before the projected usage reaches `limit`.
    pub(super) fn requests_below(&self, limit: f64, cost: f64) -> f64 {
        let requests = ((limit - self.projected_usage(cost)) * self.weight / cost).ceil();
        requests.clamp(0.0, self.waiting.len() as f64)
    }

    /// Whether the organisation has no waiting and no running requests.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }
}
