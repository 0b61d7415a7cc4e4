//! What to do about a request whose endpoint is silent.
//!
//! A sound endpoint may be silent for a moment towards all its requests and go on. To take them from
//! it would be wrong, and at that moment more have to go on elsewhere than the retry budget allows. An
//! endpoint that has crashed without closing its connections looks the same, but doesn't accept new
//! ones. One that has been sending to other requests meanwhile isn't silent: it has lost this one.

use std::time::Duration;

/// Longest time for which an endpoint that accepts connections is silent on a stream and still taken
/// to go on. Callers wait for two seconds at least.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);
/// The same for a request without any event, as a share of the time that its caller waits: it may only
/// wait in the endpoint's queue.
const MAX_PATIENCE_SHARE: f64 = 0.8;
/// Share of the limit after which it is checked whether the endpoint accepts connections.
const CHECK_SHARE: f64 = 0.6;
/// Time for which an endpoint must have been sending to other requests, and later than to this one, to
/// show that it isn't silent. Right after a pause its streams go on one after the other.
const ACTIVITY_TIME: Duration = Duration::from_millis(300);

/// When an endpoint sent anything to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Activity {
    /// Time since it last sent something.
    pub last: Duration,
    /// Time since its last silence ended.
    pub awake: Duration,
}

/// What is known of a request whose endpoint sends nothing on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Time since the last bytes on this request, or since it was sent.
    pub request: Duration,
    /// What the endpoint sent to other requests; `None` if nothing yet.
    pub activity: Option<Activity>,
    /// Whether the endpoint accepts new connections; `None` while that is unknown.
    pub accepts: Option<bool>,
    /// Whether the response has begun.
    pub begun: bool,
    /// Time after which a silent endpoint is no longer expected to go on.
    pub limit: Duration,
    /// How long the caller waits for the next event.
    pub patience: Duration,
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
        let last = self.activity.map_or(self.request, |a| a.last);
        let quiet = self.request.min(last);
        if self.is_lost(quiet) {
            return SilenceAction::Lost;
        }
        if quiet < self.limit.mul_f64(CHECK_SHARE) {
            return SilenceAction::Wait;
        }
        let longest = if self.begun {
            MAX_PAUSE
        } else {
            self.patience.mul_f64(MAX_PATIENCE_SHARE)
        };
        match self.accepts {
            None => SilenceAction::Check,
            Some(_) if quiet < self.limit => SilenceAction::Wait,
            Some(true) if quiet < self.limit.max(longest) => SilenceAction::Wait,
            Some(_) => SilenceAction::Dead,
        }
    }

    /// Whether the endpoint goes on with other requests but not with this one. One that has not begun
    /// may wait in the endpoint's queue, and would wait elsewhere.
    fn is_lost(&self, quiet: Duration) -> bool {
        let awake = self.activity.map_or(Duration::ZERO, |a| a.awake);
        self.begun
            && self.request >= self.limit
            && quiet + ACTIVITY_TIME <= self.request
            && awake >= ACTIVITY_TIME
    }
}
