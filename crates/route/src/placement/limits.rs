//! The limits of the requests that an endpoint takes from all VMs together.

use {
    super::{
        placer::Placer,
        tracked_endpoint::{ShareLimit, TrackedEndpoint},
    },
    crate::FleetRank,
    clock::Instant,
    types::EndpointId,
};

impl Placer {
    /// Sets the position of this VM in the fleet, which decides its shares in the limits of
    /// endpoints; `None` if it is unknown.
    pub fn set_rank(&mut self, now: Instant, rank: Option<FleetRank>) {
        let held = self.held_rank.get();
        self.held_rank.update(now, rank);
        if self.rank == rank && self.held_rank.get() == held {
            return;
        }
        self.rank = rank;
        self.apply_all_limits(now);
    }

    pub(super) fn apply_all_limits(&mut self, now: Instant) {
        let ids: Vec<_> = self.endpoints.keys().cloned().collect();
        ids.iter().for_each(|id| self.apply_limits(now, id));
    }

    /// Applies the limits of an endpoint: the one that it names, that of a brittle one, and the rate of
    /// cold endpoints.
    pub(super) fn apply_limits(&mut self, now: Instant, id: &EndpointId) {
        let (rank, held, cold_policy) = (self.rank, self.held_rank.get(), self.cold_policy);
        let Some(entry) = self.endpoints.get_mut(id) else {
            return;
        };
        let named = entry.named_limit.map(|limit| ShareLimit {
            limit,
            rank,
            allows_bursts: true,
        });
        // Without a known position all shares are zero; a VM that has just started would serve nothing.
        let brittle = entry.brittle_limit.filter(|_| rank.is_some());
        let brittle = brittle.map(|limit| ShareLimit {
            limit,
            rank,
            allows_bursts: false,
        });
        let cold = cold_policy.filter(|_| entry.is_cold(now));
        let cold = cold.map(|policy| ShareLimit {
            limit: policy.rate,
            rank: held,
            allows_bursts: false,
        });
        entry.cold_limited = cold.is_some();
        let limits: Vec<_> = [named, brittle, cold].into_iter().flatten().collect();
        entry.apply_limits(now, &limits);
    }
}

impl TrackedEndpoint {
    /// Lets this VM use its share of an endpoint at once to which no VM has sent anything.
    pub(super) fn fill_share(&mut self) {
        if let Some(limiter) = &mut self.limiter {
            limiter.own.fill();
        }
    }
}
