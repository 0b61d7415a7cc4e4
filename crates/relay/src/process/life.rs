//! Phases of the process, and what it has open.

use {
    event_listener::Event,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
    },
};

#[derive(Debug, Default)]
struct Counters {
    connections: AtomicUsize,
    requests: AtomicUsize,
}

/// Phases of the process.
#[derive(Debug, Default)]
pub(crate) struct Life {
    counters: Arc<Counters>,
    stopping: AtomicBool,
    closing: AtomicBool,
    closed: Event,
}

/// A connection that is open until this is dropped.
pub(crate) struct Connected(Arc<Counters>);

/// A request that is open until this is dropped.
pub(crate) struct Requested(Arc<Counters>);

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, SeqCst);
    }
}

impl Drop for Requested {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, SeqCst);
    }
}

impl Life {
    /// Counts a connection.
    pub(crate) fn connected(&self) -> Connected {
        self.counters.connections.fetch_add(1, SeqCst);
        Connected(self.counters.clone())
    }

    /// Counts a request.
    pub(crate) fn request(&self) -> Requested {
        self.counters.requests.fetch_add(1, SeqCst);
        Requested(self.counters.clone())
    }

    /// Open connections.
    pub(crate) fn connections(&self) -> usize {
        self.counters.connections.load(SeqCst)
    }

    /// Open requests.
    pub(crate) fn requests(&self) -> usize {
        self.counters.requests.load(SeqCst)
    }

    /// Begins the stop: no longer ready, answers ask callers to close.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, SeqCst);
    }

    /// Whether the process is about to end.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(SeqCst)
    }

    /// Closes idle connections.
    pub(crate) fn close_idle(&self) {
        self.closing.store(true, SeqCst);
        self.closed.notify(usize::MAX);
    }

    /// Resolves once idle connections are to be closed.
    pub(crate) async fn idle_closes(&self) {
        loop {
            let closed = self.closed.listen();
            if self.closing.load(SeqCst) {
                return;
            }
            closed.await;
        }
    }
}
