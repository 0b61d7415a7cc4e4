//! Which endpoints take requests, as they have said themselves, and when refused callers return.

use {
    super::{placer::Placer, tracked_endpoint::TrackedEndpoint},
    crate::Restriction,
    clock::Instant,
    std::time::Duration,
    types::EndpointId,
};

/// Longest time after which a caller is told to retry while endpoints limit their requests.
const MAX_RETURN_WAIT: Duration = Duration::from_secs(10);
impl Placer {
    /// Restricts the requests to an endpoint as it has said itself. A restart ends the restriction.
    pub fn restrict(&mut self, now: Instant, id: &EndpointId, restriction: Restriction) {
        if let Some(entry) = self.endpoints.get_mut(id) {
            entry.closed_until = restriction.closed_until;
            entry.named_limit = restriction.limit;
            let was_cold = entry.is_cold(now);
            entry.cold_until = entry.cold_until.max(restriction.cold_until);
            let is_new = entry.cold_since == now && !was_cold;
            self.apply_limits(now, id);
            if let Some(entry) = self.endpoints.get_mut(id).filter(|_| is_new) {
                entry.fill_share();
            }
        }
    }

    /// Whether an endpoint takes requests, of which there may be too many now.
    pub fn is_open(&self, now: Instant, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|e| e.is_open(now))
    }

    /// Time until the first endpoint takes a request, if none does now.
    pub fn reopens_in(&self, now: Instant) -> Option<Duration> {
        self.first_to_reopen(now).map(|(wait, _)| wait)
    }

    fn first_to_reopen(&self, now: Instant) -> Option<(Duration, &TrackedEndpoint)> {
        let open = self.endpoints.values().filter(|e| e.is_usable());
        let waits = open.map(|e| (e.accepts_in(now), e));
        let first = waits.min_by_key(|(wait, _)| *wait);
        first.filter(|(wait, _)| !wait.is_zero())
    }

    /// Time after which a caller that no endpoint takes may retry. Callers that wait for limited
    /// endpoints get consecutive times, as many as the shares of this VM allow; otherwise all of
    /// them would come for the next request.
    pub fn schedule_return(&mut self, now: Instant) -> Option<Duration> {
        let (wait, first) = self.first_to_reopen(now)?;
        if first.limiter.is_none() {
            return Some(wait);
        }
        let open = self.endpoints.values().filter(|e| e.is_usable());
        let shares = open.filter_map(|e| e.limiter).map(|l| l.own.share().get());
        let rate: f64 = shares.sum();
        if rate == 0.0 {
            return Some(wait);
        }
        let earliest = now + wait;
        let pause = Duration::from_secs_f64((1.0 / rate).min(MAX_RETURN_WAIT.as_secs_f64()));
        let at = earliest.max(self.last_return + pause);
        self.last_return = at.min(now + MAX_RETURN_WAIT).max(earliest);
        Some(self.last_return.since(now))
    }
}
