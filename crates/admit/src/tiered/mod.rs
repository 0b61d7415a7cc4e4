//! Strict tiers with a starvation limit, fair sharing within a class, and early refusal.

mod class_queue;
mod org_queue;
mod wait;

use {
    super::{ClassRule, Completion, Queue, QueuedRequest, QueuedRequestId, ShedRequest},
    class_queue::ClassQueue,
    clock::Instant,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
    types::{ClassId, OrgId, Reason, Tokens},
    wait::WaitModel,
};

/// Dispatches in tier order between two dispatches of due classes.
const TIER_DISPATCHES_PER_DUE: u32 = 3;
/// Bounds of the time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Queue policy with strict tiers. The classes share the sum of their queue depths.
#[derive(Debug)]
pub struct TieredQueue {
    classes: BTreeMap<ClassId, ClassQueue>,
    slots: u32,
    /// Dispatches in tier order since the last one of a due class.
    tier_dispatches: u32,
}

impl Default for TieredQueue {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            slots: 1,
            tier_dispatches: TIER_DISPATCHES_PER_DUE,
        }
    }
}

impl TieredQueue {
    fn depth(&self) -> usize {
        self.classes.values().map(|c| c.rule.depth).sum()
    }

    /// Classes with waiting requests whose starvation limit requires a dispatch, most urgent first.
    fn due_classes(&self, now: Instant) -> Vec<ClassId> {
        let waiting = self.classes.values().filter(|c| c.len > 0);
        let mut due: Vec<_> = waiting.filter(|c| c.is_due(now)).collect();
        due.sort_by_key(|c| c.due());
        due.iter().map(|c| c.rule.id.clone()).collect()
    }

    /// Classes with waiting requests by tier, then by latest start.
    fn classes_by_tier(&self) -> Vec<ClassId> {
        let mut waiting: Vec<_> = self.classes.values().filter(|c| c.len > 0).collect();
        waiting.sort_by_key(|c| (c.rule.tier, c.latest_start()));
        waiting.iter().map(|c| c.rule.id.clone()).collect()
    }

    fn dequeue_from(
        &mut self,
        classes: &[ClassId],
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        classes
            .iter()
            .find_map(|id| self.classes.get_mut(id)?.dequeue(now, fits))
    }

    /// Removes one request of the lowest tier with waiting requests, from the class that exceeds
    /// its depth most. The only request of a class that is due for dispatch is kept.
    fn shed_lowest(&mut self, now: Instant) -> Option<QueuedRequest> {
        let is_sheddable = |c: &&mut ClassQueue| c.len > usize::from(c.is_due(now));
        let excess = |c: &ClassQueue| c.len as i64 - c.rule.depth as i64;
        let mut classes: Vec<_> = self.classes.values_mut().filter(is_sheddable).collect();
        classes.sort_by_key(|c| Reverse((c.rule.tier, excess(c))));
        classes.into_iter().find_map(ClassQueue::shed_last)
    }

    fn wait_model(&self, now: Instant, class: &ClassQueue) -> WaitModel {
        WaitModel::new(self.classes.values(), class, self.slots, now)
    }

    /// Time after which to retry, if the request would miss its deadline.
    fn retry_if_late(&self, now: Instant, request: &QueuedRequest) -> Option<Duration> {
        let class = self.classes.get(&request.class)?;
        let due = class.len == 0 && class.is_due(now);
        if request.resumed || due {
            return None;
        }
        let remaining = request.deadline.since(now + class.first_token_delay());
        let ahead = class.requests_ahead_of_new(&request.org);
        let needed = self.wait_model(now, class).estimate(ahead).longest();
        let late = needed > remaining || request.deadline <= now;
        late.then(|| {
            needed
                .saturating_sub(remaining)
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        })
    }

    /// A refusal for overload, with the predicted wait as the time to retry.
    fn refusal(&self, now: Instant, request: QueuedRequest) -> ShedRequest {
        let wait = self.predicted_wait(now, &request.class);
        ShedRequest {
            request,
            reason: Reason::Overloaded,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

impl Queue for TieredQueue {
    fn set_classes(&mut self, rules: &[ClassRule]) {
        for rule in rules {
            let new = || ClassQueue::new(rule.clone());
            self.classes.entry(rule.id.clone()).or_insert_with(new).rule = rule.clone();
        }
        let listed = |id: &ClassId| rules.iter().any(|r| r.id == *id);
        self.classes.retain(|id, c| listed(id) || c.len > 0);
    }

    fn set_capacity(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    fn offer(&mut self, now: Instant, request: QueuedRequest) -> Vec<ShedRequest> {
        let Some(class) = self.classes.get_mut(&request.class) else {
            return vec![self.refusal(now, request)];
        };
        class.record_arrival(now);
        if let Some(retry_after) = self.retry_if_late(now, &request) {
            let reason = Reason::Overloaded;
            return vec![ShedRequest {
                request,
                reason,
                retry_after,
            }];
        }
        if let Some(class) = self.classes.get_mut(&request.class) {
            class.enqueue(request);
        }
        if self.len() <= self.depth() {
            return Vec::new();
        }
        let shed = self.shed_lowest(now);
        shed.map(|r| self.refusal(now, r)).into_iter().collect()
    }

    fn dequeue(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        if self.tier_dispatches >= TIER_DISPATCHES_PER_DUE {
            let due = self.due_classes(now);
            if let Some(request) = self.dequeue_from(&due, now, fits) {
                self.tier_dispatches = 0;
                return Some(request);
            }
        }
        let by_tier = self.classes_by_tier();
        let request = self.dequeue_from(&by_tier, now, fits)?;
        self.tier_dispatches = self.tier_dispatches.saturating_add(1);
        Some(request)
    }

    fn cancel(&mut self, id: QueuedRequestId) -> Option<QueuedRequest> {
        self.classes.values_mut().find_map(|c| c.cancel(id))
    }

    fn expire(&mut self, now: Instant) -> Vec<ShedRequest> {
        let ids: Vec<ClassId> = self.classes.keys().cloned().collect();
        let mut shed = Vec::new();
        for id in ids {
            let Some(class) = self.classes.get(&id) else {
                continue;
            };
            let wait = self.wait_model(now, class);
            let (first_token_delay, due) = (class.first_token_delay(), class.is_due(now));
            let Some(class) = self.classes.get_mut(&id) else {
                continue;
            };
            class.sweep(now);
            let late = |request: &QueuedRequest, ahead: f64| {
                let remaining = request.deadline.since(now + first_token_delay);
                let too_late = wait.estimate(ahead).shortest() > remaining;
                request.deadline <= now || (too_late && !due)
            };
            let taken = class.take_late(late);
            shed.extend(taken.into_iter().map(|r| self.refusal(now, r)));
        }
        shed
    }

    fn charge(&mut self, class: &ClassId, org: &OrgId, weight: u32, tokens: Tokens) {
        if let Some(class) = self.classes.get_mut(class) {
            class.charge(org, weight, tokens);
        }
    }

    fn record_first_token(&mut self, class: &ClassId, after: Duration) {
        if let Some(class) = self.classes.get_mut(class) {
            class.record_first_token(after);
        }
    }

    fn adopted(&mut self, class: &ClassId, org: &OrgId) {
        if let Some(class) = self.classes.get_mut(class) {
            class.adopt(org);
        }
    }

    fn completed(&mut self, _now: Instant, completion: &Completion) {
        if let Some(class) = self.classes.get_mut(&completion.class) {
            class.record_completion(completion);
        }
    }

    fn predicted_wait(&self, now: Instant, class: &ClassId) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return Duration::ZERO;
        };
        self.wait_model(now, class).estimate(class.len as f64).mean
    }

    fn len(&self) -> usize {
        self.classes.values().map(|c| c.len).sum()
    }
}
