//! Predicted waits, from measured service rates.

use {super::class::ClassLine, clock::Instant, std::time::Duration};

/// Least share of the slots that a tier is taken to have beside higher tiers.
const MIN_SHARE: f64 = 0.01;

/// Standard deviations that a new request's forecast allows for.
const DEVIATIONS: f64 = 4.0;

/// A predicted wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitEstimate {
    /// Expected wait.
    pub(super) mean: Duration,
    /// One standard deviation of it.
    pub(super) spread: Duration,
}

impl WaitEstimate {
    /// Longest wait to reckon with.
    pub(super) fn longest(&self) -> Duration {
        self.mean + self.spread.mul_f64(DEVIATIONS)
    }

    /// Shortest wait to reckon with.
    pub(super) fn shortest(&self) -> Duration {
        self.mean.saturating_sub(self.spread)
    }
}

/// What the wait of a class's requests depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    /// Slot time of waiting requests of other classes that go first, in seconds.
    work: f64,
    /// Mean slot time of a request of the class, in seconds.
    hold: f64,
    /// Slots left by higher tiers.
    slots: f64,
    /// Bound on starvation of the class, in seconds.
    starve: f64,
}

impl Wait {
    /// Waits of `own` beside the other `classes`.
    pub(super) fn of<'a>(
        classes: impl Iterator<Item = &'a ClassLine>,
        own: &ClassLine,
        slots: u32,
        now: Instant,
    ) -> Self {
        let total = f64::from(slots);
        let (mut work, mut busy) = (0.0, 0.0);
        for class in classes.filter(|c| c.rule.id != own.rule.id) {
            let waiting = class.len as f64 * class.hold();
            if class.rule.tier.outranks(own.rule.tier) {
                work += waiting;
                busy += class.busy(now);
            } else if class.rule.tier == own.rule.tier {
                work += waiting * earlier_share(class, own);
            }
        }
        Self {
            work,
            hold: own.hold(),
            slots: (total - busy).max(total * MIN_SHARE),
            starve: own.rule.starvation_limit.as_secs_f64(),
        }
    }

    /// Wait behind `ahead` requests of the same class.
    pub(super) fn for_place(&self, ahead: f64) -> WaitEstimate {
        let before = self.work + ahead * self.hold;
        if before <= 0.0 {
            return WaitEstimate {
                mean: Duration::ZERO,
                spread: Duration::ZERO,
            };
        }
        let guaranteed = (ahead + 1.0) * self.starve;
        let mean = ((before + self.hold) / self.slots).min(guaranteed);
        let spread = (before * self.hold).sqrt() / self.slots;
        WaitEstimate {
            mean: seconds(mean),
            spread: seconds(spread.min(guaranteed)),
        }
    }
}

fn seconds(span: f64) -> Duration {
    Duration::try_from_secs_f64(span).unwrap_or(Duration::MAX)
}

/// Share of the waiting requests of `class` whose deadline comes before that of a new request.
fn earlier_share(class: &ClassLine, own: &ClassLine) -> f64 {
    let (theirs, ours) = (class.rule.first_token, own.rule.first_token);
    (ours.as_secs_f64() / theirs.as_secs_f64().max(f64::EPSILON)).min(1.0)
}
