//! Waiting requests of one organisation in one class, and what it has used.

use {
    crate::{QueuedRequest, QueuedRequestId},
    clock::Instant,
    std::collections::BTreeMap,
};

/// Place of a request in its organisation's line: by deadline, then by arrival.
pub(super) type Place = (Instant, QueuedRequestId);

/// One organisation in one class.
#[derive(Debug)]
pub(super) struct OrgLine {
    pub(super) waiting: BTreeMap<Place, QueuedRequest>,
    /// Requests dispatched and not yet completed.
    pub(super) running: u32,
    /// Virtual counter: generated tokens over weight.
    pub(super) used: f64,
    pub(super) weight: f64,
}

impl OrgLine {
    /// An organisation that starts at the counter `used`.
    pub(super) fn new(used: f64) -> Self {
        Self {
            waiting: BTreeMap::new(),
            running: 0,
            used,
            weight: 1.0,
        }
    }

    /// Counter with the expected tokens of running requests; the smallest is served next.
    pub(super) fn claim(&self, cost: f64) -> f64 {
        self.used + f64::from(self.running) * cost / self.weight
    }

    /// Requests of this line that are dispatched before a claim of `limit` is.
    pub(super) fn ahead_of(&self, limit: f64, cost: f64) -> f64 {
        let requests = ((limit - self.claim(cost)) * self.weight / cost).ceil();
        requests.clamp(0.0, self.waiting.len() as f64)
    }

    /// Whether nothing of the organisation waits or runs.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }
}
