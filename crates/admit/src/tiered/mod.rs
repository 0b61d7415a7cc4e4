//! Strict tiers with a bound on starvation, fair shares inside a class, and early refusal.

mod class;
mod org;
mod wait;

use {
    super::{ClassRule, Completion, Queue, QueuedRequest, QueuedRequestId, ShedRequest},
    class::ClassLine,
    clock::Instant,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
    types::{ClassId, OrgId, Reason, Tokens},
    wait::Wait,
};

/// Dispatches in tier order between two that are owed to a class past its bound.
const OWED_EVERY: u32 = 3;
/// Bounds for the time after which a refused caller may try again.
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Queue policy with strict tiers. The classes' depths make up one shared space.
#[derive(Debug)]
pub struct TieredQueue {
    classes: BTreeMap<ClassId, ClassLine>,
    slots: u32,
    /// Dispatches in tier order since the last owed one.
    ordered: u32,
}

impl Default for TieredQueue {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            slots: 1,
            ordered: OWED_EVERY,
        }
    }
}

impl TieredQueue {
    fn depth(&self) -> usize {
        self.classes.values().map(|c| c.rule.depth).sum()
    }

    /// Classes with waiting requests whose bound requires a dispatch, the most urgent first.
    fn owed(&self, now: Instant) -> Vec<ClassId> {
        let waiting = self.classes.values().filter(|c| c.len > 0);
        let mut due: Vec<_> = waiting.filter(|c| c.is_due(now)).collect();
        due.sort_by_key(|c| c.due());
        due.iter().map(|c| c.rule.id.clone()).collect()
    }

    /// Classes with waiting requests by tier, then by slack.
    fn ordered(&self) -> Vec<ClassId> {
        let mut waiting: Vec<_> = self.classes.values().filter(|c| c.len > 0).collect();
        waiting.sort_by_key(|c| (c.rule.tier, c.latest_start()));
        waiting.iter().map(|c| c.rule.id.clone()).collect()
    }

    fn take_from(
        &mut self,
        classes: &[ClassId],
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        classes
            .iter()
            .find_map(|id| self.classes.get_mut(id)?.take(now, fits))
    }

    /// Takes one request out of the lowest tier with waiting requests, from the class that exceeds
    /// its depth most. The only request of a class past its bound stays.
    fn shed_lowest(&mut self, now: Instant) -> Option<QueuedRequest> {
        let sheddable = |c: &&mut ClassLine| c.len > usize::from(c.is_due(now));
        let over = |c: &ClassLine| c.len as i64 - c.rule.depth as i64;
        let mut classes: Vec<_> = self.classes.values_mut().filter(sheddable).collect();
        classes.sort_by_key(|c| Reverse((c.rule.tier, over(c))));
        classes.into_iter().find_map(ClassLine::shed)
    }

    fn wait(&self, now: Instant, class: &ClassLine) -> Wait {
        Wait::of(self.classes.values(), class, self.slots, now)
    }

    /// When to come back, if the request would wait too long.
    fn too_late(&self, now: Instant, ticket: &QueuedRequest) -> Option<Duration> {
        let class = self.classes.get(&ticket.class)?;
        let owed = class.len == 0 && class.is_due(now);
        if ticket.resumed || owed {
            return None;
        }
        let left = ticket.deadline.since(now + class.first());
        let ahead = class.ahead_of_new(&ticket.org);
        let needed = self.wait(now, class).for_place(ahead).longest();
        let late = needed > left || ticket.deadline <= now;
        late.then(|| needed.saturating_sub(left).clamp(RETRY_MIN, RETRY_MAX))
    }

    fn shed(&self, now: Instant, ticket: QueuedRequest) -> ShedRequest {
        let wait = self.predicted_wait(now, &ticket.class);
        ShedRequest {
            request: ticket,
            reason: Reason::Overloaded,
            retry_after: wait.clamp(RETRY_MIN, RETRY_MAX),
        }
    }
}

impl Queue for TieredQueue {
    fn set_classes(&mut self, rules: &[ClassRule]) {
        for rule in rules {
            let new = || ClassLine::new(rule.clone());
            self.classes.entry(rule.id.clone()).or_insert_with(new).rule = rule.clone();
        }
        let named = |id: &ClassId| rules.iter().any(|r| r.id == *id);
        self.classes.retain(|id, c| named(id) || c.len > 0);
    }

    fn set_capacity(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    fn offer(&mut self, now: Instant, ticket: QueuedRequest) -> Vec<ShedRequest> {
        let Some(class) = self.classes.get_mut(&ticket.class) else {
            return vec![self.shed(now, ticket)];
        };
        class.arrived(now);
        if let Some(retry) = self.too_late(now, &ticket) {
            let reason = Reason::Overloaded;
            return vec![ShedRequest {
                request: ticket,
                reason,
                retry_after: retry,
            }];
        }
        if let Some(class) = self.classes.get_mut(&ticket.class) {
            class.push(ticket);
        }
        if self.len() <= self.depth() {
            return Vec::new();
        }
        let shed = self.shed_lowest(now);
        shed.map(|t| self.shed(now, t)).into_iter().collect()
    }

    fn dequeue(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        if self.ordered >= OWED_EVERY {
            let owed = self.owed(now);
            if let Some(ticket) = self.take_from(&owed, now, fits) {
                self.ordered = 0;
                return Some(ticket);
            }
        }
        let ordered = self.ordered();
        let ticket = self.take_from(&ordered, now, fits)?;
        self.ordered = self.ordered.saturating_add(1);
        Some(ticket)
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
            let wait = self.wait(now, class);
            let (first, keep) = (class.first(), class.is_due(now));
            let Some(class) = self.classes.get_mut(&id) else {
                continue;
            };
            class.sweep(now);
            let late = |ticket: &QueuedRequest, ahead: f64| {
                let left = ticket.deadline.since(now + first);
                let hopeless = wait.for_place(ahead).shortest() > left;
                ticket.deadline <= now || (hopeless && !keep)
            };
            let taken = class.take_late(late);
            shed.extend(taken.into_iter().map(|t| self.shed(now, t)));
        }
        shed
    }

    fn charge(&mut self, class: &ClassId, org: &OrgId, weight: u32, tokens: Tokens) {
        if let Some(class) = self.classes.get_mut(class) {
            class.charge(org, weight, tokens);
        }
    }

    fn first_token(&mut self, class: &ClassId, after: Duration) {
        if let Some(class) = self.classes.get_mut(class) {
            class.first_token(after);
        }
    }

    fn adopted(&mut self, class: &ClassId, org: &OrgId) {
        if let Some(class) = self.classes.get_mut(class) {
            class.adopted(org);
        }
    }

    fn completed(&mut self, _now: Instant, done: &Completion) {
        if let Some(class) = self.classes.get_mut(&done.class) {
            class.completed(done);
        }
    }

    fn predicted_wait(&self, now: Instant, class: &ClassId) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return Duration::ZERO;
        };
        self.wait(now, class).for_place(class.len as f64).mean
    }

    fn len(&self) -> usize {
        self.classes.values().map(|c| c.len).sum()
    }
}
