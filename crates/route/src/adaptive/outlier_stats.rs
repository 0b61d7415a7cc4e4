//! Outlier detection: ejects endpoints that fail or straggle, and probes them before they return.

use {clock::Instant, std::time::Duration, types::Tokens};

/// Consecutive failures after which an endpoint is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Inter-token time above which an endpoint is a straggler, relative to the median of its peers.
pub(super) const STRAGGLER_FACTOR: f64 = 2.0;
/// Tokens needed before an endpoint's inter-token time is used.
const MIN_TOKENS: f64 = 30.0;
/// Tokens over which the inter-token time is averaged.
const AVERAGED_TOKENS: f64 = 100.0;
/// Duration of the first ejection; it doubles with each further one.
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Consecutive successful probes after which an endpoint takes requests again.
const PROBES_TO_RETURN: u32 = 2;

/// Whether an endpoint is ejected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum EjectionState {
    /// Takes requests.
    #[default]
    Up,
    /// Takes no requests until the given time, then one probe at a time.
    Ejected(Instant),
}

/// Failure and speed statistics of one endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct OutlierStats {
    pub(super) state: EjectionState,
    /// Failures since the last success.
    pub(super) failures: u32,
    ejections: u32,
    probes: u32,
    tokens: f64,
    seconds: f64,
}

impl OutlierStats {
    /// Records `tokens` generated in `span`.
    pub(super) fn record_progress(&mut self, tokens: Tokens, span: Duration) {
        self.tokens += tokens.0 as f64;
        self.seconds += span.as_secs_f64();
        if self.tokens > AVERAGED_TOKENS {
            let kept = AVERAGED_TOKENS / 2.0 / self.tokens;
            self.tokens *= kept;
            self.seconds *= kept;
        }
    }

    /// Mean inter-token time in seconds; `None` until enough tokens were seen.
    pub(super) fn inter_token(&self) -> Option<f64> {
        (self.tokens >= MIN_TOKENS).then(|| self.seconds / self.tokens)
    }

    pub(super) fn is_up(&self) -> bool {
        self.state == EjectionState::Up
    }

    /// Whether a probe may be sent: the ejection is over and nothing is in flight.
    pub(super) fn may_probe(&self, now: Instant, in_flight: u32) -> bool {
        matches!(self.state, EjectionState::Ejected(until) if until <= now) && in_flight == 0
    }

    pub(super) fn record_failure(&mut self) {
        self.failures += 1;
        self.probes = 0;
    }

    /// Whether the consecutive failures suffice for an ejection.
    pub(super) fn is_failing(&self) -> bool {
        self.failures >= EJECT_AFTER_FAILURES
    }

    pub(super) fn eject(&mut self, now: Instant) {
        let factor = 1 << self.ejections.min(5);
        self.state = EjectionState::Ejected(now + (MIN_EJECTION * factor).min(MAX_EJECTION));
        self.ejections += 1;
        self.probes = 0;
        (self.tokens, self.seconds) = (0.0, 0.0);
    }

    /// Records a completed request. During probing it counts towards the return, unless its
    /// inter-token time makes the endpoint a straggler against `median`; then it is ejected again.
    pub(super) fn record_success(&mut self, now: Instant, median: Option<f64>) {
        self.failures = 0;
        let EjectionState::Ejected(until) = self.state else {
            return;
        };
        if until > now {
            return;
        }
        let mean = self.seconds / self.tokens.max(1.0);
        if median.is_some_and(|m| mean > STRAGGLER_FACTOR * m) {
            self.eject(now);
            return;
        }
        self.probes += 1;
        if self.probes >= PROBES_TO_RETURN {
            self.state = EjectionState::Up;
            self.ejections = self.ejections.saturating_sub(1);
        }
    }
}
