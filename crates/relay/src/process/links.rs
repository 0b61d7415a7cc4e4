//! Whether this VM reaches the endpoints.

use {
    super::Node,
    clock::Elapsed,
    detour::{ConnectFailure, Link},
    futures_lite::FutureExt,
    std::{collections::BTreeSet, io, net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval at which it is looked at whether connections have to be checked.
const POLL: Duration = Duration::from_millis(100);
/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Endpoints that are tried first in a check, and those that are tried if none of these accepts.
const FIRST_CHECKS: usize = 2;
const MORE_CHECKS: usize = 3;
impl Node {
    /// The state of this VM's links to the endpoints.
    pub(crate) fn link(&self) -> Link {
        self.reachability.lock().link()
    }

    /// Whether endpoints accept connections of this VM, as far as it knows.
    pub(crate) fn is_connected(&self) -> bool {
        self.link() == Link::Connected
    }

    /// Resolves when no endpoint accepts connections of this VM.
    pub(crate) async fn until_cut(&self) {
        loop {
            let changed = self.link_changed.listen();
            if self.link() == Link::Cut {
                return;
            }
            changed.await;
        }
    }

    /// Records that a request was sent to an endpoint directly.
    pub(crate) fn record_send(&self) {
        self.reachability.lock().record_send(self.clock.now());
    }

    /// Records that an endpoint sent something to this VM directly.
    pub(crate) fn record_heard(&self) {
        self.reachability.lock().record_heard();
    }

    /// Records that an endpoint accepted a connection.
    pub(crate) fn record_accepted(&self) {
        let now = self.clock.now();
        if self.reachability.lock().record_accepted(now) {
            log::warn!("endpoints accept connections of this VM again");
            self.reset_health();
            self.link_changed.notify(usize::MAX);
        }
    }

    /// Records an attempt to connect to an endpoint that failed, with `error` or by its timeout.
    pub(crate) fn record_connect_failure(
        &self,
        failure: ConnectFailure,
        error: Option<&io::Error>,
    ) {
        if error.is_some_and(|e| !is_link_error(e)) {
            return;
        }
        let now = self.clock.now();
        if self.reachability.lock().record_failure(now, failure) {
            log::info!(addr:% = failure.addr, took_ms = failure.took.as_millis() as u64; "connections to endpoints fail, checking others");
            self.link_changed.notify(usize::MAX);
        }
    }

    /// Finds out whether endpoints accept connections of this VM. If none did and this VM itself may be the
    /// reason, they count as accepting.
    pub(super) async fn confirm_link(self: &Arc<Self>) -> bool {
        let addrs = self.sample_endpoints();
        let (first, more) = addrs.split_at(addrs.len().min(FIRST_CHECKS));
        for stage in [first, more] {
            let opening: Vec<_> = stage
                .iter()
                .map(|addr| self.executor.spawn(check(self.clone(), *addr)))
                .collect();
            let mut reached = opening.is_empty() && addrs.is_empty();
            for task in opening {
                reached |= task.await != Some(false);
            }
            if reached {
                return true;
            }
        }
        false
    }

    /// Addresses of a few endpoints, if possible of different zones.
    fn sample_endpoints(&self) -> Vec<SocketAddr> {
        let mut listed: Vec<_> = {
            let registry = self.registry.lock();
            let open = registry.endpoints().filter(|e| !e.leaving);
            open.map(|e| (e.zone.clone(), e.addr)).collect()
        };
        fastrand::shuffle(&mut listed);
        let mut zones = BTreeSet::new();
        let (mut spread, rest): (Vec<_>, Vec<_>) = listed
            .into_iter()
            .partition(|(zone, _)| zones.insert(zone.clone()));
        spread.extend(rest);
        let addrs = spread.into_iter().map(|(_, addr)| addr);
        addrs.take(FIRST_CHECKS + MORE_CHECKS).collect()
    }

    /// Forgets the failures of endpoints that were those of this VM's links.
    fn reset_health(&self) {
        let mut placers = self.placers.lock();
        placers.values_mut().for_each(|p| p.reset_health());
    }

    /// Closes the idle connections to endpoints.
    fn drop_endpoint_connections(&self) {
        let addrs: Vec<_> = {
            let registry = self.registry.lock();
            registry.endpoints().map(|e| e.addr).collect()
        };
        addrs.into_iter().for_each(|a| self.pool.remove_addr(a));
    }
}

/// Whether an error says that there is no way to the other end. Others may be this VM's own, such as a lack
/// of descriptors.
fn is_link_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::TimedOut
    )
}

/// Whether an endpoint accepts a connection, which is kept for a request; `None` if this VM itself may be
/// the reason that there is none.
async fn check(node: Arc<Node>, addr: SocketAddr) -> Option<bool> {
    let began = node.clock.now();
    let opened = node.open_spare(addr, CHECK_TIMEOUT).await;
    let failure = ConnectFailure {
        addr,
        took: node.clock.now().since(began),
        limit: CHECK_TIMEOUT,
    };
    match opened {
        Ok(Ok(())) => return Some(true),
        Ok(Err(e)) if is_link_error(&e) => node.record_connect_failure(failure, Some(&e)),
        Ok(Err(e)) => {
            log::warn!(addr:% = addr, error:% = e; "cannot check whether endpoints accept connections");
            return None;
        }
        Err(Elapsed) => node.record_connect_failure(failure, None),
    }
    (!failure.is_late()).then_some(false)
}

/// Checks connections to endpoints when that is due, until it is dropped.
pub(super) async fn watch_links(node: Arc<Node>) {
    loop {
        let changed = node.link_changed.listen();
        let now = node.clock.now();
        if node.reachability.lock().begin_check(now) {
            let reached = node.confirm_link().await;
            let now = node.clock.now();
            if node.reachability.lock().end_check(now, reached) {
                log::warn!(
                    "no endpoint accepts connections of this VM, other VMs carry its requests"
                );
                node.drop_endpoint_connections();
                node.reset_health();
                node.link_changed.notify(usize::MAX);
            }
        }
        let due = node.clock.sleep(POLL);
        let notified = async {
            changed.await;
        };
        due.or(notified).await;
    }
}
