//! An accepted request with its route, and the state of its attempts.

use {
    super::{path::Path, slot_lease::SlotLease},
    crate::{
        adapter::CallerHeaders,
        configuration::{Org, Route},
        process::ByteLease,
    },
    clock::Instant,
    h1::RequestHead,
    parking_lot::Mutex,
    route::{Placement, Suspect},
    std::{sync::Arc, time::Duration},
    types::{
        Attempts, EndpointId, Reason, Refusal, Release, ServiceId, Tier, Urgency, Verdict, Version,
        VmId,
    },
};

/// Which release began the stream of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum StreamOrigin {
    /// The caller has no events yet.
    #[default]
    New,
    /// This release: only its endpoints may go on.
    Known(Release),
    /// That is unknown: no endpoint may go on.
    Unknown,
}

impl StreamOrigin {
    /// The release whose endpoints may go on.
    pub(crate) fn release(&self) -> Option<&Release> {
        match self {
            Self::Known(release) => Some(release),
            Self::New | Self::Unknown => None,
        }
    }
}

/// State of a request's attempts.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Number of ended sends to endpoints, and their combined verdict.
    pub(crate) sends: Attempts,
    /// Whether a send is in progress: not ended yet.
    pub(crate) in_flight: bool,
    /// The last endpoint that was chosen.
    pub(crate) endpoint: Option<EndpointId>,
    /// Whether the last connection that the request was sent on had carried others before.
    pub(crate) reused: Option<bool>,
    /// The VM that took the last send to its endpoint, if it wasn't this one.
    pub(crate) carrier: Option<VmId>,
    /// Release of the last endpoint that the request was sent to.
    pub(crate) release: Option<Release>,
    /// Which release began the stream.
    pub(crate) origin: StreamOrigin,
    /// The last failure.
    pub(crate) cause: Option<&'static str>,
    /// Time to the first event of a stream.
    pub(crate) first_event: Option<Duration>,
    /// Events sent to the caller.
    pub(crate) events: u64,
    /// Forecast of the time to the first event at the last chosen endpoint.
    pub(crate) predicted: Duration,
    /// The part of the forecast that is spent on requests ahead of this one.
    pub(crate) queue_delay: Duration,
    /// Engine that the last chosen endpoint may fetch prompt parts from.
    pub(crate) kv_source: Option<EndpointId>,
    /// Whether the request was counted in a usage window.
    pub(crate) counted: bool,
}

impl Progress {
    /// Number of sends to endpoints, the one in progress included.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.count() + u32::from(self.in_flight)
    }

    /// The verdict so far; a send in progress counts as `MayHaveRun`.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.in_flight {
            return Verdict::MayHaveRun;
        }
        self.sends.verdict()
    }
}

/// An accepted request with its route, service and organisation.
pub(crate) struct RoutedRequest {
    pub(crate) caller: CallerHeaders,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) org: Option<Arc<Org>>,
    pub(crate) tier: Tier,
    pub(crate) urgency: Urgency,
    /// What it may crash endpoints by.
    pub(crate) suspects: Vec<Suspect>,
    /// Request head without hop-by-hop header fields.
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) version: Version,
    /// Whether it is a retry that honoured `Retry-After`.
    pub(crate) timely_retry: bool,
    /// When the head had arrived.
    pub(crate) arrived: Instant,
    /// When the request times out: the earlier of the caller's and the route's timeout.
    pub(crate) deadline: Instant,
    pub(crate) progress: Mutex<Progress>,
    /// Memory reserved for buffered responses.
    pub(crate) held: ByteLease,
}

impl RoutedRequest {
    /// Whether a retry is safe after an attempt with this verdict.
    pub(crate) fn is_retry_safe(&self, verdict: Verdict) -> bool {
        verdict.allows_retry(self.route.kind.is_idempotent())
    }

    /// The verdict so far; a send in progress counts as `MayHaveRun`.
    pub(crate) fn verdict(&self) -> Verdict {
        self.progress.lock().verdict()
    }

    /// Marks the request as counted; false if it was counted before.
    pub(crate) fn mark_counted(&self) -> bool {
        !std::mem::replace(&mut self.progress.lock().counted, true)
    }

    /// Number of ended sends.
    pub(crate) fn sends(&self) -> u32 {
        self.progress.lock().sends.count()
    }

    /// Whether it was sent to an endpoint, or is being sent.
    pub(crate) fn was_sent(&self) -> bool {
        self.progress.lock().sends() > 0
    }

    /// Which release began the stream.
    pub(crate) fn origin(&self) -> StreamOrigin {
        self.progress.lock().origin.clone()
    }

    /// Records which release began the stream; `None` if that is unknown.
    pub(crate) fn set_origin(&self, release: Option<Release>) {
        let origin = release.map_or(StreamOrigin::Unknown, StreamOrigin::Known);
        self.progress.lock().origin = origin;
    }

    /// The refusal of a stream that can't go on, as nobody knows which release began it.
    pub(crate) fn unknown_origin(&self) -> Refusal {
        self.unavailable("it is not known which release began the stream")
    }

    /// Records the forecast for the chosen endpoint.
    pub(crate) fn record_forecast(&self, placement: &Placement) {
        let mut progress = self.progress.lock();
        progress.predicted = placement.predicted;
        progress.queue_delay = placement.queue_delay;
        progress.kv_source = placement.kv_source.clone();
    }

    /// The refusal of a request while all endpoints refuse requests for a time.
    pub(crate) fn all_busy(&self, wait: Duration) -> Refusal {
        let refusal = self.unavailable("all endpoints refuse requests");
        if refusal.verdict == Verdict::NotRun {
            return refusal.with_retry_after(wait);
        }
        refusal
    }

    /// The refusal of a request while all endpoints are in evacuated availability zones.
    pub(crate) fn evacuated(&self, wait: Duration) -> Refusal {
        let refusal = self.unavailable("all endpoints are in evacuated availability zones");
        if refusal.verdict == Verdict::NotRun {
            return refusal.with_retry_after(wait);
        }
        refusal
    }

    /// The refusal of a request because others like it have crashed endpoints.
    pub(crate) fn quarantined(&self, wait: Duration) -> Refusal {
        const MESSAGE: &str = "others like it crashed endpoints";
        match self.verdict() {
            Verdict::NotRun => {
                Refusal::not_run(Reason::Quarantined, MESSAGE).with_retry_after(wait)
            }
            verdict => Refusal::with_verdict(verdict, Reason::EndpointFailed, MESSAGE),
        }
    }

    /// The refusal of a request that would miss its latency target.
    pub(crate) fn overloaded(&self, wait: Duration) -> Refusal {
        Refusal::not_run(Reason::Overloaded, "engines are overloaded").with_retry_after(wait)
    }

    /// Records the start of a send.
    pub(super) fn start_send(&self, slot: &SlotLease, path: &Path) {
        let mut progress = self.progress.lock();
        progress.in_flight = true;
        progress.reused = Some(path.pooled.reused);
        progress.carrier = path.carrier().cloned();
        progress.endpoint = Some(slot.endpoint().clone());
        progress.release = slot.release.clone();
    }

    /// Takes back a send that never reached an endpoint.
    pub(super) fn cancel_send(&self, cause: &'static str) {
        let mut progress = self.progress.lock();
        progress.in_flight = false;
        progress.cause = Some(cause);
    }

    /// Time until the request times out.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }

    /// Records the end of a send.
    pub(crate) fn end_send(&self, verdict: Verdict, cause: Option<&'static str>) {
        let mut progress = self.progress.lock();
        progress.in_flight = false;
        progress.sends.record(verdict);
        if cause.is_some() {
            progress.cause = cause;
        }
    }

    /// Records that no connection to the endpoint could be opened.
    pub(crate) fn connect_failed(&self, endpoint: &EndpointId, cause: &'static str) {
        let mut progress = self.progress.lock();
        progress.endpoint = Some(endpoint.clone());
        progress.cause = Some(cause);
    }

    /// The refusal of a request that timed out.
    pub(crate) fn timed_out(&self) -> Refusal {
        match self.verdict() {
            Verdict::NotRun => Refusal::not_run(Reason::Unavailable, "no endpoint in time"),
            verdict => Refusal::with_verdict(verdict, Reason::EndpointTimeout, "no answer in time"),
        }
    }

    /// The refusal of a request that no endpoint can take, or whose last attempt failed.
    pub(crate) fn unavailable(&self, message: &'static str) -> Refusal {
        match self.verdict() {
            Verdict::NotRun => Refusal::not_run(Reason::Unavailable, message),
            verdict => Refusal::with_verdict(verdict, Reason::EndpointFailed, message),
        }
    }
}
