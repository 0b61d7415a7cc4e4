//! Health of an endpoint, derived from its responses.

use {crate::Activity, clock::Instant, std::time::Duration};

/// Weight of a new response in the failure share.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Failure share in excess of the usual one from which an endpoint is avoided.
const MAX_EXCESS_FAILURES: f64 = 0.25;
/// Bounds of the backoff for an unreachable endpoint; it doubles in between.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time without any activity, while requests wait for a response, after which an endpoint counts as
/// silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Shortest time without activity that counts as a silence which activity ends.
const MIN_SILENCE: Duration = Duration::from_millis(600);

/// Failure share, backoff and activity of one endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    failure_share: f64,
    backoff: Duration,
    retry_at: Option<Instant>,
    /// When the endpoint last sent anything.
    last_activity: Instant,
    /// When it sent something after its last silence.
    awake_since: Instant,
    /// When the oldest request was sent that has seen no activity since.
    waiting_since: Option<Instant>,
}

impl Health {
    /// Records that a request was sent.
    pub(super) fn record_request(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records activity of the endpoint; this ends a backoff.
    pub(super) fn record_activity(&mut self, now: Instant) {
        if now.since(self.last_activity) >= MIN_SILENCE {
            self.awake_since = now;
        }
        self.last_activity = now;
        self.waiting_since = None;
        self.backoff = Duration::ZERO;
        self.retry_at = None;
    }

    /// Records that no request is in flight any more.
    pub(super) fn record_idle(&mut self) {
        self.waiting_since = None;
    }

    /// Forgets failures, backoff and silence.
    pub(super) fn forgive(&mut self) {
        self.failure_share = 0.0;
        self.backoff = Duration::ZERO;
        self.retry_at = None;
        self.waiting_since = None;
    }

    /// Records a completed or failed response.
    pub(super) fn record_result(&mut self, success: bool) {
        let failed = if success { 0.0 } else { 1.0 };
        self.failure_share += SAMPLE_WEIGHT * (failed - self.failure_share);
    }

    /// Starts or doubles the backoff after a failed connection or a silent endpoint. Many requests may
    /// leave it at the same time.
    pub(super) fn back_off(&mut self, now: Instant) {
        if self.is_backing_off(now) {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.retry_at = Some(now + self.backoff);
    }

    /// Share of failed responses, as a moving average.
    pub(super) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Whether the endpoint should get requests, given the usual failure share of its peers.
    pub(super) fn is_healthy(&self, now: Instant, usual_failures: f64) -> bool {
        !self.is_backing_off(now)
            && !self.is_silent(now)
            && self.failure_share < usual_failures + MAX_EXCESS_FAILURES
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        self.retry_at.is_some_and(|until| now < until)
    }

    /// Whether requests wait for a response and there was no activity for longer than the timeout.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.waiting_since
            .is_some_and(|at| now.since(at.max(self.last_activity)) > SILENCE_TIMEOUT)
    }

    /// When the endpoint showed activity; `None` if it never did.
    pub(super) fn activity(&self, now: Instant) -> Option<Activity> {
        let heard = self.last_activity != Instant::default();
        heard.then(|| Activity {
            last: now.since(self.last_activity),
            awake: now.since(self.awake_since),
        })
    }

    /// Whether the endpoint showed activity within `time`.
    pub(super) fn heard_within(&self, now: Instant, time: Duration) -> bool {
        now.since(self.last_activity) < time
    }

    /// Decays the failure share, so that an avoided endpoint is eventually tried again.
    pub(super) fn decay_failures(&mut self, factor: f64) {
        self.failure_share *= factor;
    }
}
