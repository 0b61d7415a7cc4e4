//! A request that was taken in, and what became of it so far.

use {
    crate::{
        port::CallerHead,
        version::{Org, Route},
    },
    clock::Stamp,
    h1::RequestHead,
    parking_lot::Mutex,
    route::Placement,
    std::{sync::Arc, time::Duration},
    types::{Attempt, EndpointId, Reason, Refusal, ServiceId, Tier, Verdict, Version},
};

/// What became of a request so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Endpoints that got the request, and the verdict over them.
    pub(crate) sends: Attempt,
    /// Whether a request is under way: sent, with no answer yet.
    pub(crate) flying: bool,
    /// The last endpoint that was chosen.
    pub(crate) endpoint: Option<EndpointId>,
    /// The last failure.
    pub(crate) cause: Option<&'static str>,
    /// Time to the first event or the answer.
    pub(crate) first: Option<Duration>,
    /// Events sent to the caller.
    pub(crate) events: u64,
    /// Forecast for the last endpoint: time to the first event, and the part of it for others.
    pub(crate) expected: Duration,
    pub(crate) ahead: Duration,
    /// Engine that the last endpoint was told to fetch shared parts from.
    pub(crate) source: Option<EndpointId>,
    /// Whether the request is counted in a usage window.
    pub(crate) counted: bool,
}

impl Progress {
    /// Endpoints that got the request, the one at work included.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.made() + u32::from(self.flying)
    }

    /// The verdict so far; a request under way may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.flying {
            return Verdict::MayHaveRun;
        }
        self.sends.verdict()
    }
}

/// A request.
pub(crate) struct Job {
    pub(crate) caller: CallerHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) org: Option<Arc<Org>>,
    pub(crate) tier: Tier,
    /// Head without the fields of the caller's connection.
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) version: Version,
    /// When the head was complete.
    pub(crate) arrived: Stamp,
    /// When the caller, or the route, gives up.
    pub(crate) ends: Stamp,
    pub(crate) progress: Mutex<Progress>,
}

impl Job {
    /// Whether a repeat is safe after an attempt with this verdict.
    pub(crate) fn may_repeat(&self, verdict: Verdict) -> bool {
        verdict.allows_retry(self.route.kind.is_idempotent())
    }

    /// The verdict so far; a request under way may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        self.progress.lock().verdict()
    }

    /// Marks the request as counted; false if it was before.
    pub(crate) fn count_once(&self) -> bool {
        !std::mem::replace(&mut self.progress.lock().counted, true)
    }

    /// Sends that have ended.
    pub(crate) fn sends(&self) -> u32 {
        self.progress.lock().sends.made()
    }

    /// Records the forecast that the last choice was made by.
    pub(crate) fn forecast(&self, choice: &Placement) {
        let mut progress = self.progress.lock();
        progress.expected = choice.predicted;
        progress.ahead = choice.queue_delay;
        progress.source = choice.kv_source.clone();
    }

    /// The refusal of a request that would come too late.
    pub(crate) fn overloaded(&self, wait: Duration) -> Refusal {
        Refusal::not_run(Reason::Overloaded, "engines are overloaded").retry_in(wait)
    }

    /// Records the start of a send.
    pub(crate) fn sending(&self, endpoint: &EndpointId) {
        let mut progress = self.progress.lock();
        progress.flying = true;
        progress.endpoint = Some(endpoint.clone());
    }

    /// Records the end of a send.
    pub(crate) fn sent(&self, verdict: Verdict, cause: Option<&'static str>) {
        let mut progress = self.progress.lock();
        progress.flying = false;
        progress.sends.record(verdict);
        if cause.is_some() {
            progress.cause = cause;
        }
    }

    /// Records a failure before anything was sent.
    pub(crate) fn unsent(&self, endpoint: &EndpointId, cause: &'static str) {
        let mut progress = self.progress.lock();
        progress.endpoint = Some(endpoint.clone());
        progress.cause = Some(cause);
    }

    /// The refusal of a request whose time is over.
    pub(crate) fn timed_out(&self) -> Refusal {
        match self.verdict() {
            Verdict::NotRun => Refusal::not_run(Reason::Unavailable, "no endpoint in time"),
            verdict => Refusal::after(verdict, Reason::EndpointTimeout, "no answer in time"),
        }
    }

    /// The refusal of a request that no endpoint can take, or that failed at the last one.
    pub(crate) fn unplaced(&self, message: &'static str) -> Refusal {
        match self.verdict() {
            Verdict::NotRun => Refusal::not_run(Reason::Unavailable, message),
            verdict => Refusal::after(verdict, Reason::EndpointFailed, message),
        }
    }
}
