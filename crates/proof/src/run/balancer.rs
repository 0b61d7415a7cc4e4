//! The platform's balancer: sends connections to entries that say they are ready.

use {
    super::{links::Proxy, pause::pause},
    crate::LinkId,
    eyre::Result,
    harness::HttpClient,
    http_types::Method,
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
    wire::{Call, CallTimeouts},
};

const POLL: Duration = Duration::from_millis(25);
const LIMITS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(100),
    head: Duration::from_millis(250),
    body_idle: Duration::from_millis(250),
};

/// An entry as the balancer knows it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Member {
    pub(super) admin: SocketAddr,
    /// Where connections to it go: its address for callers, or a link to it.
    pub(super) callers: SocketAddr,
}

/// What the polls of one entry have shown.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    newest: u64,
}

/// Polls the entries' readiness, sets the targets of the balancer's link, and watches that the
/// configuration of a ready entry never goes back.
pub(super) struct Balancer {
    pub(super) addr: SocketAddr,
    ended: Arc<AtomicBool>,
    reverts: Arc<Mutex<Vec<String>>>,
    thread: Option<JoinHandle<()>>,
}

struct Poller {
    http: HttpClient,
    proxy: Proxy,
    link: LinkId,
    members: Vec<Member>,
    ended: Arc<AtomicBool>,
    reverts: Arc<Mutex<Vec<String>>>,
}

impl Balancer {
    pub(super) fn start(http: HttpClient, proxy: Proxy, members: Vec<Member>) -> Result<Self> {
        let opened = proxy.open(members.iter().map(|m| m.callers).collect())?;
        let (ended, reverts) = (Arc::<AtomicBool>::default(), Arc::default());
        let poller = Poller {
            http,
            proxy,
            link: opened.link,
            members,
            ended: ended.clone(),
            reverts: Arc::clone(&reverts),
        };
        let thread = thread::spawn(move || poller.run());
        Ok(Self {
            addr: opened.addr,
            ended,
            reverts,
            thread: Some(thread),
        })
    }

    /// Entries that went back to an earlier configuration while ready.
    pub(super) fn reverts(&self) -> Vec<String> {
        self.reverts.lock().clone()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Poller {
    fn run(&self) {
        let mut seen: BTreeMap<SocketAddr, Seen> = BTreeMap::new();
        let mut last = Vec::new();
        while !self.ended.load(Ordering::SeqCst) {
            let ready: Vec<SocketAddr> = self
                .members
                .iter()
                .filter(|m| self.is_ready(m.admin))
                .map(|m| m.callers)
                .collect();
            if ready != last && self.proxy.targets(self.link, ready.clone()).is_ok() {
                last = ready;
            }
            for member in &self.members {
                self.watch(member.admin, seen.entry(member.admin).or_default());
            }
            pause(POLL);
        }
    }

    fn is_ready(&self, admin: SocketAddr) -> bool {
        let call = Call::new(admin, Method::Get, "/readyz").timeouts(LIMITS);
        self.http.send(call).is_ok_and(|(r, _)| r.status() == 200)
    }

    fn watch(&self, admin: SocketAddr, seen: &mut Seen) {
        let call = Call::new(admin, Method::Get, "/metrics").timeouts(LIMITS);
        let Ok((_, bytes)) = self.http.send(call) else {
            return;
        };
        let text = String::from_utf8_lossy(&bytes);
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix("celerystage_config_version "));
        let Some(version) = line.and_then(|v| v.trim().parse::<f64>().ok()) else {
            return;
        };
        let version = version as u64;
        // An entry that has just started is not ready and may be behind.
        if version < seen.newest && self.is_ready(admin) {
            let what = format!("{admin}: version {version} after {}", seen.newest);
            self.reverts.lock().push(what);
        }
        seen.newest = seen.newest.max(version);
    }
}
