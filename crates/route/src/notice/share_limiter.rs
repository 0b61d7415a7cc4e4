//! Limiter of the requests that one VM sends to an endpoint that names a limit.

use {clock::Instant, std::time::Duration, types::PerSecond};

/// Requests that a share saves up while none are sent, in seconds of the share; at least one
/// request.
const SAVED_SECONDS: f64 = 0.25;
/// Longest wait that is told.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A token bucket. It starts empty: the requests sent before the limit became known have used it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareLimiter {
    share: PerSecond,
    credit: f64,
    updated: Instant,
    /// Whether a burst of more than one request may be saved up.
    allows_bursts: bool,
}

impl ShareLimiter {
    pub(crate) fn new(now: Instant, share: PerSecond) -> Self {
        Self {
            share,
            credit: 0.0,
            updated: now,
            allows_bursts: true,
        }
    }

    /// Saves up one request, for an endpoint that no VM has sent any to.
    pub(crate) fn fill(&mut self) {
        if self.share.get() > 0.0 {
            self.credit = self.credit.max(1.0);
        }
    }

    /// Sets whether more than one request may be saved up.
    pub(crate) fn allow_bursts(&mut self, now: Instant, allows: bool) {
        self.allows_bursts = allows;
        self.credit = self.credit_at(now);
        self.updated = now;
    }

    pub(crate) fn share(&self) -> PerSecond {
        self.share
    }

    /// Changes the share from now on.
    pub(crate) fn set_share(&mut self, now: Instant, share: PerSecond) {
        self.credit = self.credit_at(now);
        self.updated = now;
        self.share = share;
        if share.get() == 0.0 {
            self.credit = 0.0;
        }
    }

    fn credit_at(&self, now: Instant) -> f64 {
        let earned = now.since(self.updated).as_secs_f64() * self.share.get();
        let saved = if self.allows_bursts {
            SAVED_SECONDS * self.share.get()
        } else {
            1.0
        };
        let most = saved.max(1.0);
        (self.credit + earned).min(most)
    }

    /// Whether a request may be sent.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.credit_at(now) >= 1.0
    }

    /// Counts a request.
    pub(crate) fn take(&mut self, now: Instant) {
        self.credit = self.credit_at(now) - 1.0;
        self.updated = now;
    }

    /// Takes back the count of a request that was not sent.
    pub(crate) fn give_back(&mut self, now: Instant) {
        self.credit = self.credit_at(now) + 1.0;
        self.updated = now;
    }

    /// Time until a request may be sent; `None` if this VM has no share.
    pub(crate) fn ready_in(&self, now: Instant) -> Option<Duration> {
        let missing = (1.0 - self.credit_at(now)).max(0.0);
        let share = self.share.get();
        let seconds = missing / share;
        (share > 0.0).then(|| Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())))
    }
}
