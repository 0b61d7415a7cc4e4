//! Shutdown state of the process, and its open connections and requests.

use {
    clock::Instant,
    event_listener::Event,
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
        },
        time::Duration,
    },
};

/// Time after the stop signal in which streams and requests that may be repeated are still accepted. Others are accepted
/// only if they finish before the process has to end.
const LATE_ACCEPT_TIME: Duration = Duration::from_millis(2_800);

#[derive(Debug, Default)]
struct Counters {
    connections: AtomicUsize,
    requests: AtomicUsize,
}

/// When the shutdown began, and when the process ends at the latest.
#[derive(Debug, Clone, Copy)]
struct Stopping {
    began: Instant,
    deadline: Instant,
}

/// Shutdown state of the process, and counters of open connections and requests.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    counters: Arc<Counters>,
    stop: Mutex<Option<Stopping>>,
    closing_idle: AtomicBool,
    idle_closed: Event,
}

/// Counts a connection as open until it is dropped.
pub(crate) struct ConnectionGuard(Arc<Counters>);

/// Counts a request as open until it is dropped.
pub(crate) struct RequestGuard(Arc<Counters>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, SeqCst);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, SeqCst);
    }
}

impl Lifecycle {
    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn open_connection(&self) -> ConnectionGuard {
        self.counters.connections.fetch_add(1, SeqCst);
        ConnectionGuard(self.counters.clone())
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(&self) -> RequestGuard {
        self.counters.requests.fetch_add(1, SeqCst);
        RequestGuard(self.counters.clone())
    }

    /// Number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.counters.connections.load(SeqCst)
    }

    /// Number of open requests.
    pub(crate) fn requests(&self) -> usize {
        self.counters.requests.load(SeqCst)
    }

    /// Begins the shutdown: the process is no longer ready, and responses ask callers to close.
    pub(crate) fn begin_stop(&self, began: Instant, deadline: Instant) {
        *self.stop.lock() = Some(Stopping { began, deadline });
    }

    /// Whether a request that ends at `until` at the latest can still be accepted. `may_be_cut` tells whether its caller
    /// can go on after it was cut.
    pub(crate) fn accepts(&self, now: Instant, until: Instant, may_be_cut: bool) -> bool {
        let stop = *self.stop.lock();
        stop.is_none_or(|s| {
            may_be_cut && now.since(s.began) < LATE_ACCEPT_TIME || until < s.deadline
        })
    }

    /// Whether the shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.lock().is_some()
    }

    /// Whether the shutdown has begun and no request is open.
    pub(crate) fn has_drained(&self) -> bool {
        self.is_stopping() && self.closing_idle.load(SeqCst) && self.requests() == 0
    }

    /// Closes idle connections, and from now on each connection that becomes idle.
    pub(crate) fn close_idle(&self) {
        self.closing_idle.store(true, SeqCst);
        self.idle_closed.notify(usize::MAX);
    }

    /// Resolves once idle connections have to be closed.
    pub(crate) async fn idle_closing(&self) {
        loop {
            let notified = self.idle_closed.listen();
            if self.closing_idle.load(SeqCst) {
                return;
            }
            notified.await;
        }
    }
}
