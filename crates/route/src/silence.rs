//! What to do about a request whose endpoint is silent.
//!
//! A sound endpoint may be silent for a moment towards all its requests and go on. To take them from
//! it would be wrong, and at that moment more have to go on elsewhere than the retry budget allows. An
//! endpoint that has crashed without closing its connections looks the same, but doesn't accept new
//! ones. One that sends to other requests meanwhile isn't silent: it has lost this one.

use std::time::Duration;

/// Longest time for which an endpoint that accepts connections is silent and still taken to go on.
/// Callers wait for two seconds at least.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);
/// Share of the limit after which it is checked whether the endpoint accepts connections.
const CHECK_SHARE: f64 = 0.6;
/// Time by which an endpoint must have sent to another request later than to this one, to show that
/// it isn't silent.
const ACTIVITY_MARGIN: Duration = Duration::from_millis(300);

/// What is known of a request whose endpoint sends nothing on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Time since the last bytes on this request, or since it was sent.
    pub request: Duration,
    /// Time since the endpoint last sent anything to this VM; `None` if it never did.
    pub endpoint: Option<Duration>,
    /// Whether the endpoint accepts new connections; `None` while that is unknown.
    pub accepts: Option<bool>,
    /// Whether the response has begun.
    pub begun: bool,
    /// Time after which a silent endpoint is no longer expected to go on.
    pub limit: Duration,
}

/// What to do about a silent endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceAction {
    /// Wait on.
    Wait,
    /// Wait on, and find out whether it accepts connections.
    Check,
    /// The endpoint has lost the request: it may go on elsewhere.
    Lost,
    /// The endpoint has ended, or is not expected to go on: the request may go on elsewhere.
    Dead,
}

impl Silence {
    /// What to do now.
    pub fn action(&self) -> SilenceAction {
        let quiet = self.request.min(self.endpoint.unwrap_or(self.request));
        // A request that has not begun may wait in the endpoint's queue, and would wait elsewhere.
        let lost = self.begun && quiet + ACTIVITY_MARGIN <= self.request;
        if lost && self.request >= self.limit {
            return SilenceAction::Lost;
        }
        if quiet < self.limit.mul_f64(CHECK_SHARE) {
            return SilenceAction::Wait;
        }
        match self.accepts {
            None => SilenceAction::Check,
            Some(_) if quiet < self.limit => SilenceAction::Wait,
            Some(true) if quiet < self.limit.max(MAX_PAUSE) => SilenceAction::Wait,
            Some(_) => SilenceAction::Dead,
        }
    }
}
