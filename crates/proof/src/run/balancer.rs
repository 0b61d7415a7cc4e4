//! The platform's load balancer: sends connections to the entries that report ready.

use {
    super::{proxy_client::ProxyClient, sleep::sleep},
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

const POLL_INTERVAL: Duration = Duration::from_millis(25);
const POLL_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(100),
    head: Duration::from_millis(250),
    body_idle: Duration::from_millis(250),
};

/// An entry behind the balancer.
#[derive(Debug, Clone, Copy)]
pub(super) struct BalancedEntry {
    pub(super) admin: SocketAddr,
    /// Target of connections to this entry: its address for callers, or a link to it.
    pub(super) callers: SocketAddr,
}

/// Configuration versions that the polls of one entry have returned.
#[derive(Debug, Clone, Copy, Default)]
struct PolledVersions {
    newest: u64,
}

/// Polls the entries' readiness, sets the targets of the balancer's link, and records every ready
/// entry whose configuration goes back to an earlier version.
pub(super) struct Balancer {
    pub(super) addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    reverts: Arc<Mutex<Vec<String>>>,
    thread: Option<JoinHandle<()>>,
}

struct Poller {
    http: HttpClient,
    proxy: ProxyClient,
    link: LinkId,
    entries: Vec<BalancedEntry>,
    stopped: Arc<AtomicBool>,
    reverts: Arc<Mutex<Vec<String>>>,
}

impl Balancer {
    /// Opens the balancer's link and starts the polling thread.
    pub(super) fn start(
        http: HttpClient,
        proxy: ProxyClient,
        entries: Vec<BalancedEntry>,
    ) -> Result<Self> {
        let opened = proxy.open(entries.iter().map(|e| e.callers).collect())?;
        let (stopped, reverts) = (Arc::<AtomicBool>::default(), Arc::default());
        let poller = Poller {
            http,
            proxy,
            link: opened.link,
            entries,
            stopped: stopped.clone(),
            reverts: Arc::clone(&reverts),
        };
        let thread = thread::spawn(move || poller.run());
        Ok(Self {
            addr: opened.addr,
            stopped,
            reverts,
            thread: Some(thread),
        })
    }

    /// Descriptions of entries that went back to an earlier configuration while ready.
    pub(super) fn reverts(&self) -> Vec<String> {
        self.reverts.lock().clone()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Poller {
    fn run(&self) {
        let mut versions: BTreeMap<SocketAddr, PolledVersions> = BTreeMap::new();
        let mut targets = Vec::new();
        while !self.stopped.load(Ordering::SeqCst) {
            let ready: Vec<SocketAddr> = self
                .entries
                .iter()
                .filter(|e| self.is_ready(e.admin))
                .map(|e| e.callers)
                .collect();
            if ready != targets && self.proxy.set_targets(self.link, ready.clone()).is_ok() {
                targets = ready;
            }
            for entry in &self.entries {
                self.check_version(entry.admin, versions.entry(entry.admin).or_default());
            }
            sleep(POLL_INTERVAL);
        }
    }

    fn is_ready(&self, admin: SocketAddr) -> bool {
        let call = Call::new(admin, Method::Get, "/readyz").timeouts(POLL_TIMEOUTS);
        self.http.send(call).is_ok_and(|(r, _)| r.status() == 200)
    }

    /// Reads the entry's configuration version and records a revert if it is older than the newest
    /// one seen.
    fn check_version(&self, admin: SocketAddr, versions: &mut PolledVersions) {
        let call = Call::new(admin, Method::Get, "/metrics").timeouts(POLL_TIMEOUTS);
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
        // An entry that has just started isn't ready yet and may still have an older version.
        if version < versions.newest && self.is_ready(admin) {
            let revert = format!("{admin}: version {version} after {}", versions.newest);
            self.reverts.lock().push(revert);
        }
        versions.newest = versions.newest.max(version);
    }
}
