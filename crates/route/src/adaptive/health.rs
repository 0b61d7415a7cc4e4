//! Whether an endpoint takes requests: failures, stragglers, ejection and probes.

use {clock::Instant, std::time::Duration, types::Tokens};

/// Failures in a row that eject an endpoint.
const FAILURES: u32 = 3;
/// A straggler's time between tokens, in medians of its peers.
pub(super) const STRAGGLER: f64 = 2.0;
/// Tokens after which an endpoint's time between tokens counts.
const MIN_TOKENS: f64 = 30.0;
/// Tokens over which the time between tokens is averaged.
const SPAN_TOKENS: f64 = 100.0;
/// First ejection; each further one takes twice as long.
const EJECTION: Duration = Duration::from_secs(1);
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Probes that succeed in a row before an endpoint takes requests again.
const PROBES: u32 = 2;

/// Whether an endpoint takes requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum State {
    /// Takes requests.
    #[default]
    Up,
    /// Takes none until the stamp, then one at a time.
    Ejected(Instant),
}

/// What is known of an endpoint's health.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    pub(super) state: State,
    /// Failures since the last success.
    pub(super) failures: u32,
    ejections: u32,
    probes: u32,
    tokens: f64,
    seconds: f64,
}

impl Health {
    /// Takes in tokens that came in `span`.
    pub(super) fn progress(&mut self, tokens: Tokens, span: Duration) {
        self.tokens += tokens.0 as f64;
        self.seconds += span.as_secs_f64();
        if self.tokens > SPAN_TOKENS {
            let kept = SPAN_TOKENS / 2.0 / self.tokens;
            self.tokens *= kept;
            self.seconds *= kept;
        }
    }

    /// Mean time between tokens in seconds, once enough were seen.
    pub(super) fn between(&self) -> Option<f64> {
        (self.tokens >= MIN_TOKENS).then(|| self.seconds / self.tokens)
    }

    pub(super) fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Whether a probe may be sent, given the requests in flight.
    pub(super) fn may_probe(&self, now: Instant, flying: u32) -> bool {
        matches!(self.state, State::Ejected(until) if until <= now) && flying == 0
    }

    pub(super) fn failed(&mut self) {
        self.failures += 1;
        self.probes = 0;
    }

    /// Whether failures alone call for an ejection.
    pub(super) fn is_failing(&self) -> bool {
        self.failures >= FAILURES
    }

    pub(super) fn eject(&mut self, now: Instant) {
        let factor = 1 << self.ejections.min(5);
        self.state = State::Ejected(now + (EJECTION * factor).min(EJECTION_MAX));
        self.ejections += 1;
        self.probes = 0;
        (self.tokens, self.seconds) = (0.0, 0.0);
    }

    /// Counts a whole answer; a probe that was not slow beside `median` counts towards the return.
    pub(super) fn succeeded(&mut self, now: Instant, median: Option<f64>) {
        self.failures = 0;
        let State::Ejected(until) = self.state else {
            return;
        };
        if until > now {
            return;
        }
        let mean = self.seconds / self.tokens.max(1.0);
        if median.is_some_and(|m| mean > STRAGGLER * m) {
            self.eject(now);
            return;
        }
        self.probes += 1;
        if self.probes >= PROBES {
            self.state = State::Up;
            self.ejections = self.ejections.saturating_sub(1);
        }
    }
}
