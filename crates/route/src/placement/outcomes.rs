//! How many of the latest sends to an endpoint were refused.

use {
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time in which a past send counts 1/e: an endpoint that refuses most of what it gets is tried
/// again after a few of them.
const MEMORY: Duration = Duration::from_secs(2);
/// Sends without a refusal that are assumed in addition to those seen, so that one refusal is no
/// verdict.
const ASSUMED_SENDS: f64 = 1.0;
/// Smallest decayed number of refusals that counts.
const MIN_REFUSALS: f64 = 0.01;
/// Resolution of the counts that VMs tell each other.
const UNITS_PER_SEND: f64 = 100.0;

/// Decayed numbers of sends and refusals, in hundredths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Sends that were answered or refused.
    pub sends: u32,
    /// Those that were refused.
    pub refusals: u32,
}

impl Outcomes {
    /// Adds the outcomes at another VM.
    pub(super) fn add(&mut self, other: Self) {
        self.sends = self.sends.saturating_add(other.sends);
        self.refusals = self.refusals.saturating_add(other.refusals);
    }

    /// Subtracts outcomes; no number falls below zero.
    pub(super) fn sub(&mut self, other: Self) {
        self.sends = self.sends.saturating_sub(other.sends);
        self.refusals = self.refusals.saturating_sub(other.refusals);
    }

    /// Share of sends that an endpoint is expected to refuse.
    pub(super) fn refusal_share(self) -> f64 {
        f64::from(self.refusals) / (f64::from(self.sends) + ASSUMED_SENDS * UNITS_PER_SEND)
    }
}

/// The outcomes of this VM's sends.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentOutcomes {
    sends: f64,
    refusals: f64,
    updated: Instant,
}

impl RecentOutcomes {
    pub(super) fn record(&mut self, now: Instant, refused: bool) {
        let weight = self.weight(now);
        self.sends = self.sends * weight + 1.0;
        self.refusals = self.refusals * weight + if refused { 1.0 } else { 0.0 };
        self.updated = now;
    }

    /// The outcomes at `now`; none without a recent refusal, so that endpoints without trouble take
    /// no room in the datagrams of other loads.
    pub(super) fn at(&self, now: Instant) -> Outcomes {
        if self.refusals * self.weight(now) < MIN_REFUSALS {
            return Outcomes::default();
        }
        let units = |count: f64| (count * self.weight(now) * UNITS_PER_SEND) as u32;
        Outcomes {
            sends: units(self.sends),
            refusals: units(self.refusals),
        }
    }

    fn weight(&self, now: Instant) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        (-age / MEMORY.as_secs_f64()).exp()
    }
}
