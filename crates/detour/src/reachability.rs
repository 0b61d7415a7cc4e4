//! Whether this VM reaches the endpoints.
//!
//! What counts is whether endpoints accept new connections. Silence on requests is only a reason to find
//! out: endpoints may be silent for a moment, but the systems that they run on accept connections. An
//! endpoint that accepts none may have crashed, so several are tried, and any that accepts one shows that the
//! VM isn't cut off.

use {
    clock::Instant,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Silence on requests after which connections are checked: longer than most first events take.
const SILENCE_TIME: Duration = Duration::from_millis(300);
/// Failed connections to different endpoints in a row that make a VM suspect that it is cut off.
const SUSPECT_FAILURES: usize = 2;
/// Time without an accepted connection after which one failure does.
const ACCEPT_AGE: Duration = Duration::from_secs(1);
/// Time for which a failure counts.
const FAILURE_AGE: Duration = Duration::from_secs(2);
/// Time by which an attempt to connect may be late: beyond it the VM itself was paused, and the failure
/// says nothing.
const MAX_LATENESS: Duration = Duration::from_millis(300);
/// Shortest interval between two checks while the VM is connected, and while it is cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const RETURN_INTERVAL: Duration = Duration::from_millis(250);

/// The state of a VM's links to the endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Link {
    /// Endpoints accept connections, as far as is known.
    #[default]
    Connected,
    /// Connections failed; a check is due or in progress.
    Suspected,
    /// No endpoint accepts connections.
    Cut,
}

/// An attempt to open a connection to an endpoint that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectFailure {
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// How long the attempt took.
    pub took: Duration,
    /// How long it should have taken at most.
    pub limit: Duration,
}

impl ConnectFailure {
    /// Whether this VM may have been paused meanwhile, so that the failure says nothing.
    pub fn is_late(&self) -> bool {
        self.took > self.limit + MAX_LATENESS
    }
}

/// What one VM knows of its links to the endpoints.
#[derive(Debug, Default)]
pub struct Reachability {
    link: Link,
    /// Endpoints that accepted no connection since one was last accepted.
    failures: BTreeMap<SocketAddr, Instant>,
    last_accept: Option<Instant>,
    /// When the first request was sent since an endpoint last sent anything.
    waiting_since: Option<Instant>,
    /// When the latest check began, and whether it is in progress.
    check: Option<(Instant, bool)>,
}

impl Reachability {
    /// The state of the links.
    pub fn link(&self) -> Link {
        self.link
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_send(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that an endpoint sent something to this VM.
    pub fn record_heard(&mut self) {
        self.waiting_since = None;
    }

    /// Records that an endpoint accepted a new connection. Returns whether the VM was taken to be cut off,
    /// or suspected to be.
    pub fn record_accepted(&mut self, now: Instant) -> bool {
        self.last_accept = Some(now);
        self.failures.clear();
        self.waiting_since = None;
        std::mem::take(&mut self.link) != Link::Connected
    }

    /// Records an attempt to connect that failed. Returns whether the VM now suspects that it is cut
    /// off.
    pub fn record_failure(&mut self, now: Instant, failure: ConnectFailure) -> bool {
        if failure.is_late() {
            return false;
        }
        self.failures.retain(|_, at| now.since(*at) < FAILURE_AGE);
        self.failures.insert(failure.addr, now);
        let accepted = self.last_accept;
        let recent = accepted.is_some_and(|at| now.since(at) < ACCEPT_AGE);
        let needed = if recent { SUSPECT_FAILURES } else { 1 };
        if self.link != Link::Connected || self.failures.len() < needed {
            return false;
        }
        self.link = Link::Suspected;
        true
    }

    /// Whether connections have to be checked now; the check then counts as begun.
    pub fn begin_check(&mut self, now: Instant) -> bool {
        let silent = self
            .waiting_since
            .is_some_and(|at| now.since(at) >= SILENCE_TIME);
        let interval = match self.link {
            Link::Connected if !silent => return false,
            Link::Connected => CHECK_INTERVAL,
            Link::Suspected => Duration::ZERO,
            Link::Cut => RETURN_INTERVAL,
        };
        let due = match self.check {
            Some((_, true)) => false,
            Some((began, false)) => now.since(began) >= interval,
            None => true,
        };
        if due {
            self.check = Some((now, true));
        }
        due
    }

    /// Records the end of a check, and whether any endpoint accepted a connection. Returns whether the VM is
    /// now taken to be cut off, and wasn't before. A check by which nothing could be found out counts as one in
    /// which an endpoint accepted.
    pub fn end_check(&mut self, now: Instant, reached: bool) -> bool {
        self.check = self.check.map(|(began, _)| (began, false));
        // A silence that began before the check was looked at.
        self.waiting_since = self.waiting_since.map(|_| now);
        if reached {
            self.link = Link::Connected;
            return false;
        }
        std::mem::replace(&mut self.link, Link::Cut) != Link::Cut
    }

    /// Forgets what a pause of this VM may have caused.
    pub fn record_pause(&mut self) {
        self.failures.clear();
        self.waiting_since = None;
        if self.link == Link::Suspected {
            self.link = Link::Connected;
        }
    }
}
