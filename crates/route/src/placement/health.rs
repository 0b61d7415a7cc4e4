//! Health of an endpoint as its answers show it.

use {clock::Stamp, std::time::Duration};

/// Weight of the newest answer in the share of failures.
const NEWEST: f64 = 0.15;
/// Share of failures above that of the other endpoints from which one is avoided.
const WORSE: f64 = 0.25;
/// First and longest time that an endpoint is avoided after it could not be reached.
const FIRST_BAN: Duration = Duration::from_millis(500);
const LONGEST_BAN: Duration = Duration::from_secs(4);
/// Time without any sign of life, while requests wait for one, from which an endpoint counts as
/// silent.
const SILENCE: Duration = Duration::from_millis(1_200);

/// What the answers of one endpoint show.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    failures: f64,
    ban: Duration,
    banned: Option<Stamp>,
    /// Last sign of life.
    heard: Stamp,
    /// When the oldest request without a sign of life since was sent.
    asked: Option<Stamp>,
}

impl Health {
    /// Takes note of a request that was sent.
    pub(super) fn asked(&mut self, now: Stamp) {
        self.asked.get_or_insert(now);
    }

    /// Takes note of a sign of life.
    pub(super) fn heard(&mut self, now: Stamp) {
        self.heard = now;
        self.asked = None;
        self.ban = Duration::ZERO;
        self.banned = None;
    }

    /// Takes note that requests wait no longer.
    pub(super) fn idle(&mut self) {
        self.asked = None;
    }

    /// Takes note of a whole answer or of a failed one.
    pub(super) fn answered(&mut self, good: bool) {
        let failed = if good { 0.0 } else { 1.0 };
        self.failures += NEWEST * (failed - self.failures);
    }

    /// Takes note that no connection could be had, or that it went silent.
    pub(super) fn unreachable(&mut self, now: Stamp) {
        self.ban = (self.ban * 2).clamp(FIRST_BAN, LONGEST_BAN);
        self.banned = Some(now + self.ban);
    }

    /// Share of failed answers.
    pub(super) fn failures(&self) -> f64 {
        self.failures
    }

    /// Whether the endpoint takes requests, given the usual share of failures.
    pub(super) fn is_fit(&self, now: Stamp, usual: f64) -> bool {
        let banned = self.banned.is_some_and(|until| now < until);
        !banned && !self.is_silent(now) && self.failures < usual + WORSE
    }

    /// Whether requests wait and nothing was heard for long.
    pub(super) fn is_silent(&self, now: Stamp) -> bool {
        self.asked
            .is_some_and(|at| now.since(at.max(self.heard)) > SILENCE)
    }

    /// Lets the share of failures decay, so that an avoided endpoint is tried again.
    pub(super) fn forgive(&mut self, share: f64) {
        self.failures *= share;
    }
}
