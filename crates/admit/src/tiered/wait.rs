//! Predicted waits, from measured service times.

use {super::class_queue::ClassQueue, clock::Instant, std::time::Duration};

/// Minimum share of the slots assumed to be left by higher tiers.
const MIN_SLOT_SHARE: f64 = 0.01;

/// Standard deviations included in the longest wait, by which new requests are admitted.
const LONGEST_DEVIATIONS: f64 = 4.0;

/// A predicted wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitEstimate {
    /// Expected wait.
    pub(super) mean: Duration,
    /// Standard deviation of the wait.
    pub(super) spread: Duration,
}

impl WaitEstimate {
    /// Upper estimate of the wait.
    pub(super) fn longest(&self) -> Duration {
        self.mean + self.spread.mul_f64(LONGEST_DEVIATIONS)
    }

    /// Lower estimate of the wait.
    pub(super) fn shortest(&self) -> Duration {
        self.mean.saturating_sub(self.spread)
    }
}

/// Queueing model of a class, to estimate waits from.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitModel {
    /// Total slot time of waiting requests of other classes that go first, in seconds.
    work_ahead: f64,
    /// Mean slot time of a request of the class, in seconds.
    slot_time: f64,
    /// Slots not occupied by higher tiers.
    slots: f64,
    /// Starvation limit of the class, in seconds.
    starvation_limit: f64,
}

impl WaitModel {
    /// Model of the class `own` in competition with the other `classes`.
    pub(super) fn new<'a>(
        classes: impl Iterator<Item = &'a ClassQueue>,
        own: &ClassQueue,
        slots: u32,
        now: Instant,
    ) -> Self {
        let total = f64::from(slots);
        let (mut work_ahead, mut busy) = (0.0, 0.0);
        for class in classes.filter(|c| c.rule.id != own.rule.id) {
            let waiting = class.len as f64 * class.slot_time();
            if class.rule.tier.outranks(own.rule.tier) {
                work_ahead += waiting;
                busy += class.busy_slots(now);
            } else if class.rule.tier == own.rule.tier {
                work_ahead += waiting * earlier_share(class, own);
            }
        }
        Self {
            work_ahead,
            slot_time: own.slot_time(),
            slots: (total - busy).max(total * MIN_SLOT_SHARE),
            starvation_limit: own.rule.starvation_limit.as_secs_f64(),
        }
    }

    /// Wait of a request with `ahead` requests of the same class ahead of it.
    pub(super) fn estimate(&self, ahead: f64) -> WaitEstimate {
        let work = self.work_ahead + ahead * self.slot_time;
        if work <= 0.0 {
            return WaitEstimate {
                mean: Duration::ZERO,
                spread: Duration::ZERO,
            };
        }
        let guaranteed = (ahead + 1.0) * self.starvation_limit;
        let mean = ((work + self.slot_time) / self.slots).min(guaranteed);
        let spread = (work * self.slot_time).sqrt() / self.slots;
        WaitEstimate {
            mean: seconds(mean),
            spread: seconds(spread.min(guaranteed)),
        }
    }
}

fn seconds(span: f64) -> Duration {
    Duration::try_from_secs_f64(span).unwrap_or(Duration::MAX)
}

/// Share of the waiting requests of `class` with an earlier deadline than a new request of `own`.
fn earlier_share(class: &ClassQueue, own: &ClassQueue) -> f64 {
    let (theirs, ours) = (class.rule.first_token, own.rule.first_token);
    (ours.as_secs_f64() / theirs.as_secs_f64().max(f64::EPSILON)).min(1.0)
}
