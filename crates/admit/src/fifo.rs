//! First-come, first-served queue, the baseline for other policies.

use {
    super::{ClassRule, Completion, Queue, QueuedRequest, QueuedRequestId, ShedRequest},
    clock::Instant,
    std::{collections::VecDeque, time::Duration},
    types::{ClassId, OrgId, Reason, Tokens},
};

/// Time after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A single queue in order of arrival, bounded by the sum of the classes' queue depths.
#[derive(Debug, Default)]
pub struct FifoQueue {
    waiting: VecDeque<QueuedRequest>,
    depth: usize,
}

impl Queue for FifoQueue {
    fn set_classes(&mut self, rules: &[ClassRule]) {
        self.depth = rules.iter().map(|r| r.depth).sum();
    }

    fn set_capacity(&mut self, _slots: u32) {}

    fn offer(&mut self, _now: Instant, request: QueuedRequest) -> Vec<ShedRequest> {
        if self.waiting.len() < self.depth {
            self.waiting.push_back(request);
            return Vec::new();
        }
        vec![ShedRequest {
            request,
            reason: Reason::Overloaded,
            retry_after: RETRY_AFTER,
        }]
    }

    fn dequeue(
        &mut self,
        _now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let at = self.waiting.iter().position(fits)?;
        self.waiting.remove(at)
    }

    fn cancel(&mut self, id: QueuedRequestId) -> Option<QueuedRequest> {
        let at = self.waiting.iter().position(|r| r.id == id)?;
        self.waiting.remove(at)
    }

    fn expire(&mut self, _now: Instant) -> Vec<ShedRequest> {
        Vec::new()
    }

    fn charge(&mut self, _class: &ClassId, _org: &OrgId, _weight: u32, _tokens: Tokens) {}

    fn record_first_token(&mut self, _class: &ClassId, _after: Duration) {}

    fn adopted(&mut self, _class: &ClassId, _org: &OrgId) {}

    fn completed(&mut self, _now: Instant, _completion: &Completion) {}

    fn predicted_wait(&self, _now: Instant, _class: &ClassId) -> Duration {
        Duration::ZERO
    }

    fn len(&self) -> usize {
        self.waiting.len()
    }
}
