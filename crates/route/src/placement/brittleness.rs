//! Endpoints that fall over when they have to refuse many requests.
//!
//! The load pattern: endpoints of a service say that they are brittle, let fewer requests wait, and a burst
//! comes. Hundreds of VMs that see the same room fill it before they hear of each other, so each VM keeps
//! to its share of a rate at which an endpoint seldom has to refuse.

use {
    super::{placer::Placer, tracked_endpoint::TrackedEndpoint},
    clock::Instant,
    std::time::Duration,
    types::PerSecond,
};

/// Time for which endpoints count as brittle after the last response that said so, and after one that
/// didn't: responses overtake each other.
const MEMORY: Duration = Duration::from_secs(10);
const HOLD_TIME: Duration = Duration::from_secs(1);
/// Interval at which rates are adapted to the time that requests take.
const ADAPT_INTERVAL: Duration = Duration::from_millis(500);
/// How much of the refusals that an endpoint bears is left for requests that VMs have saved up. Each may
/// have saved one, and how many of them come at once varies with the square root of their number.
const SAVED_WEIGHT: f64 = 0.35;
/// Smallest number of refusals in a second that is aimed at.
const MIN_REFUSALS: f64 = 0.1;
/// Largest share of an endpoint's slots that is used on average.
const MAX_UTILIZATION: f64 = 0.7;
/// Factor by which a rate changes at least.
const RATE_CHANGE: f64 = 1.5;
/// Steps in which the utilization is looked for.
const UTILIZATION_STEPS: u32 = 28;
/// Number of slots beyond which arrivals up to the largest utilization never find all slots taken.
const MAX_RATED_SLOTS: u32 = 10_000;
/// Time of a request that is assumed before one has been completed.
const DEFAULT_WORK: Duration = Duration::from_millis(50);
/// Weight of a new sample in the mean time of requests.
const WORK_WEIGHT: f64 = 0.05;
/// Bounds of the time for which this VM leaves a brittle endpoint alone that has refused a request.
const MIN_REST: Duration = Duration::from_secs(1);
const MAX_REST: Duration = Duration::from_secs(2);

/// What a service's endpoints say of how they bear refusals.
#[derive(Debug, Default)]
pub(super) struct Brittleness {
    /// Refusals in a second that an endpoint bears, and until when they count as brittle.
    named: Option<(u32, Instant)>,
    /// Mean time of requests, in seconds; 0 until measured.
    work: f64,
    adapted: Instant,
}

impl Brittleness {
    pub(super) fn is_named(&self, now: Instant) -> bool {
        self.named.is_some_and(|(_, until)| now < until)
    }

    /// Forgets what was said long ago. Returns whether there was anything to forget.
    fn expire(&mut self, now: Instant) -> bool {
        let expired = self.named.is_some_and(|(_, until)| until <= now);
        if expired {
            self.named = None;
        }
        expired
    }

    /// Records the word of a response. Returns whether the rates have to be adapted.
    fn record(&mut self, now: Instant, borne: Option<u32>) -> bool {
        let was_named = self.named.is_some();
        match (borne, &mut self.named) {
            (Some(borne), named) => *named = Some((borne, now + MEMORY)),
            (None, Some((_, until))) => *until = (*until).min(now + HOLD_TIME),
            (None, None) => {}
        }
        self.named = self.named.filter(|(_, until)| now < *until);
        let due = self.named.is_some() && now.since(self.adapted) >= ADAPT_INTERVAL;
        let changed = due || was_named != self.named.is_some();
        if changed {
            self.adapted = now;
        }
        changed
    }

    pub(super) fn record_work(&mut self, took: Duration) {
        let secs = took.as_secs_f64();
        self.work = match self.work {
            mean if mean > 0.0 => mean + WORK_WEIGHT * (secs - mean),
            _ => secs,
        };
    }

    /// Requests a second that an endpoint with these slots takes from all VMs.
    fn rate(&self, slots: u32, vms: u32) -> Option<PerSecond> {
        let (borne, _) = self.named?;
        let work = if self.work > 0.0 {
            self.work
        } else {
            DEFAULT_WORK.as_secs_f64()
        };
        let capacity = f64::from(slots.max(1)) / work;
        let share = 1.0 / (1.0 + SAVED_WEIGHT * f64::from(vms).sqrt());
        let refusals = (f64::from(borne) * share).max(MIN_REFUSALS);
        let step = MAX_UTILIZATION / f64::from(UTILIZATION_STEPS);
        let shares = (1..=UTILIZATION_STEPS).rev();
        let rates = shares.map(|n| capacity * step * f64::from(n));
        let mut bearable =
            rates.filter(|rate| rate * blocking_probability(slots, rate * work) <= refusals);
        let lowest = capacity * step;
        let rate = bearable.next().unwrap_or(lowest);
        PerSecond::try_from(rate).ok()
    }
}

/// Share of random arrivals that find all slots taken (the Erlang B formula); `load` is the mean number of
/// requests at work if none were refused.
pub(super) fn blocking_probability(slots: u32, load: f64) -> f64 {
    if slots > MAX_RATED_SLOTS {
        return 0.0;
    }
    let inverse = (1..=slots).fold(1.0, |inverse, n| 1.0 + inverse * f64::from(n) / load);
    1.0 / inverse
}

/// Whether a rate differs so much that the VMs' shares should change: who has a share depends on it.
fn is_new(old: Option<PerSecond>, new: Option<PerSecond>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => {
            let ratio = new.get() / old.get();
            !(1.0 / RATE_CHANGE..=RATE_CHANGE).contains(&ratio)
        }
        (old, new) => old.is_some() != new.is_some(),
    }
}

impl Placer {
    /// Records what a response of an endpoint says of all endpoints of its service: how many refusals in a second
    /// each of them bears before it falls over; `None` if it named nothing. Returns whether that is new.
    pub fn record_brittle(&mut self, now: Instant, borne: Option<u32>) -> bool {
        let was_named = self.brittleness.is_named(now);
        if self.brittleness.record(now, borne) {
            let vms = self.rank.map_or(1, |r| r.vms);
            for entry in self.endpoints.values_mut() {
                let rate = self.brittleness.rate(entry.spec.slots, vms);
                if is_new(entry.brittle_limit, rate) {
                    entry.brittle_limit = rate;
                }
            }
            self.apply_all_limits(now);
        }
        was_named != self.brittleness.is_named(now)
    }

    /// Ends the rates of brittle endpoints of which nothing was heard for long: a VM without a share hears
    /// nothing.
    pub(super) fn expire_brittle(&mut self, now: Instant) {
        if !self.brittleness.expire(now) {
            return;
        }
        let entries = self.endpoints.values_mut();
        entries.for_each(|e| e.brittle_limit = None);
        self.apply_all_limits(now);
    }

    /// Whether the endpoints have said that they are brittle.
    pub fn is_brittle(&self, now: Instant) -> bool {
        self.brittleness.is_named(now)
    }
}

impl TrackedEndpoint {
    /// Leaves a brittle endpoint alone that has refused a request; VMs return at different times.
    pub(super) fn rest_if_brittle(&mut self, now: Instant) {
        if self.brittle_limit.is_some() {
            let rest = MIN_REST + (MAX_REST - MIN_REST).mul_f64(fastrand::f64());
            self.rest_until = now + rest;
        }
    }

    /// Whether a brittle endpoint has a free slot, as far as this VM knows.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        if self.brittle_limit.is_none() {
            return true;
        }
        self.own_load.in_flight < self.spec.slots && now >= self.rest_until
    }
}
