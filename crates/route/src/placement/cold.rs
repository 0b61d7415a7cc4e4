//! Endpoints that have just started, or fell cold again, and take few requests a second for a time.
//!
//! The load pattern: dozens of engines come at once, in a burst, a scale-up or when a zone returns, and
//! hundreds of VMs see the same free engines. Each VM keeps to its share of an endpoint's rate limit, and uses it
//! early, so that the endpoint is warm when it is needed.

use {
    super::{placer::Placer, tracked_endpoint::TrackedEndpoint},
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
    types::{PerSecond, ZoneId},
};

/// Time until the heartbeat of an endpoint that fell cold has been read: two heartbeats and a read.
const COLD_NEWS_DELAY: Duration = Duration::from_millis(3_500);
/// Longest backoff after which an endpoint that could not be connected to is tried again.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(4);

/// Rate limit of the cold endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdPolicy {
    /// Rate of requests that a cold endpoint serves, for all VMs together.
    pub rate: PerSecond,
    /// Time for which an endpoint is cold.
    pub time: Duration,
}

impl Placer {
    /// Sets the rate limit of cold endpoints; `None` if there is none.
    pub fn set_cold_policy(&mut self, now: Instant, policy: Option<ColdPolicy>) {
        if self.cold_policy == policy {
            return;
        }
        self.cold_policy = policy;
        self.apply_all_limits(now);
    }

    /// Whether the rate of cold endpoints is limited.
    pub fn limits_cold(&self) -> bool {
        self.cold_policy.is_some()
    }

    /// Closes the endpoints of these availability zones, and opens those of all others. Endpoints of a
    /// zone that returns count as cold.
    pub fn set_evacuated(&mut self, now: Instant, zones: &BTreeSet<ZoneId>) {
        let returned: Vec<ZoneId> = self.evacuated.difference(zones).cloned().collect();
        self.evacuated.clone_from(zones);
        let cold = self.cold_policy.map(|p| now + p.time + COLD_NEWS_DELAY);
        for entry in self.endpoints.values_mut() {
            entry.evacuated = zones.contains(&entry.spec.zone);
            if let Some(until) = cold.filter(|_| returned.contains(&entry.spec.zone)) {
                entry.cold_until = entry.cold_until.max(until);
            }
        }
        self.apply_all_limits(now);
    }

    /// Whether there are endpoints, and all of them are in evacuated zones.
    pub fn is_evacuated(&self) -> bool {
        let mut listed = self.endpoints.values().filter(|e| e.open).peekable();
        listed.peek().is_some() && listed.all(|e| e.evacuated)
    }

    /// Numbers of endpoints that take requests, that are cold, and that are in evacuated zones.
    pub fn state_counts(&self, now: Instant) -> [usize; 3] {
        let open = || self.endpoints.values().filter(|e| e.open);
        let evacuated = open().filter(|e| e.evacuated).count();
        let cold = open().filter(|e| !e.evacuated && e.is_cold(now)).count();
        [open().count() - evacuated - cold, cold, evacuated]
    }

    /// Assumes that an endpoint that this VM cannot connect to starts again.
    pub(super) fn suspect_restart(&mut self, now: Instant, id: &types::EndpointId) {
        let Some(policy) = self.cold_policy else {
            return;
        };
        if let Some(entry) = self.endpoints.get_mut(id) {
            entry.suspected_until = now + MAX_RETURN_DELAY + policy.time;
            self.apply_limits(now, id);
        }
    }

    /// Ends the limits of endpoints that are no longer cold.
    pub(super) fn expire_cold(&mut self, now: Instant) {
        if self.cold_policy.is_none() {
            return;
        }
        let ended = |e: &&TrackedEndpoint| e.cold_limited && !e.is_cold(now);
        let ended = self.endpoints.values().filter(ended);
        let ended: Vec<_> = ended.map(|e| e.spec.id.clone()).collect();
        ended.iter().for_each(|id| self.apply_limits(now, id));
    }
}

impl TrackedEndpoint {
    /// Whether it is cold, or may be as it may have started again.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.max(self.suspected_until) > now
    }
}
