//! Whether this VM reaches the endpoints, and the VMs that carry its requests while it doesn't.

use {
    super::Node,
    clock::Elapsed,
    detour::{Carrier, ConnectFailure, Link},
    futures_lite::FutureExt,
    h1::{Headers, RequestHead, call},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering::SeqCst},
        time::Duration,
    },
    types::{Bytes, EndpointId, VmId, ZoneId},
};

/// Path of the call that asks a hub for VMs that reach the endpoints.
pub(super) const CARRIERS_PATH: &str = "/carriers";
/// Interval at which it is looked at whether connections have to be checked.
const POLL: Duration = Duration::from_millis(100);
/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Endpoints that are tried first in a check, and those that are tried if none of these accepts.
const FIRST_CHECKS: usize = 2;
const MORE_CHECKS: usize = 3;
/// Interval between two questions for carriers in a fleet with hubs.
const CARRIERS_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of such a question, and the largest answer.
const CARRIERS_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_CARRIERS_RESPONSE: Bytes = Bytes(64 * 1024);
/// Most carriers that a hub names.
const MAX_CARRIERS_NAMED: usize = 16;
/// Hubs of other zones that are asked in one round.
const MAX_HUBS_ASKED: usize = 6;
/// Interval at which it is looked at whether a carrier is still one, and looks in a row without it after
/// which it is given up.
const CARRIER_POLL: Duration = Duration::from_millis(200);
const MAX_MISSED_LOOKS: u32 = 3;
/// Share of the file descriptors that carried requests may use.
const CARRIED_FD_SHARE: f64 = 0.1;

/// Answer of a hub that is asked for carriers.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CarriersResponse {
    /// Its availability zone.
    zone: ZoneId,
    /// VMs of its zone that reach the endpoints.
    carriers: Vec<Carrier>,
    /// Control addresses of hubs of the other zones.
    hubs: Vec<SocketAddr>,
}

/// A request of this VM at a carrier, which is counted there until it is dropped.
pub(crate) struct CarrierLease {
    node: Arc<Node>,
    carrier: Carrier,
}

impl CarrierLease {
    pub(crate) fn vm(&self) -> &VmId {
        &self.carrier.vm
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.carrier.addr
    }

    /// Gives the carrier up for a while.
    pub(crate) fn fail(&self) {
        let now = self.node.clock.now();
        let mut carriers = self.node.carriers.lock();
        carriers.record_failure(now, &self.carrier.vm);
    }
}

impl Drop for CarrierLease {
    fn drop(&mut self) {
        self.node.carriers.lock().release(&self.carrier.vm);
    }
}

/// A request of another VM that this one carries, which is counted until it is dropped.
pub(crate) struct CarryPermit(Arc<Node>);

impl Drop for CarryPermit {
    fn drop(&mut self) {
        self.0.carried.fetch_sub(1, SeqCst);
    }
}

impl Node {
    /// The state of this VM's links to the endpoints.
    pub(crate) fn link(&self) -> Link {
        self.reachability.lock().link()
    }

    /// Whether endpoints accept connections of this VM, as far as it knows.
    pub(crate) fn is_connected(&self) -> bool {
        self.link() == Link::Connected
    }

    /// Whether this VM takes requests of others to their endpoints.
    pub(super) fn carries(&self) -> bool {
        self.is_connected() && !self.lifecycle.is_stopping()
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

    /// Chooses a VM that takes a request to this endpoint, other than `avoid`.
    pub(crate) fn acquire_carrier(
        self: &Arc<Self>,
        endpoint: &EndpointId,
        avoid: &[VmId],
    ) -> Option<CarrierLease> {
        let now = self.clock.now();
        let zone = {
            let registry = self.registry.lock();
            registry.get(endpoint).map(|e| e.zone.clone())
        };
        self.refresh_carriers();
        let mut carriers = self.carriers.lock();
        let zones: Vec<_> = [Some(&self.settings.zone), zone.as_ref()]
            .into_iter()
            .flatten()
            .collect();
        let carrier = carriers.acquire(now, &zones, avoid)?;
        drop(carriers);
        Some(CarrierLease {
            node: self.clone(),
            carrier,
        })
    }

    /// Takes over which VMs carry requests, unless this VM asks hubs for them.
    fn refresh_carriers(&self) {
        let now = self.clock.now();
        let port = self.settings.control.port();
        let peers = self.peers.lock();
        let known = (!peers.uses_hubs(now)).then(|| peers.carriers(now, port));
        drop(peers);
        if let Some(known) = known {
            self.carriers.lock().replace(now, None, known);
        }
    }

    /// Resolves when a carrier has not been heard of for a time in which it should have been.
    pub(crate) async fn until_carrier_lost(&self, vm: &VmId) {
        let mut missed = 0;
        while missed < MAX_MISSED_LOOKS {
            self.clock.sleep(CARRIER_POLL).await;
            missed = if self.hears_carrier(vm) {
                0
            } else {
                missed + 1
            };
        }
    }

    /// Whether a carrier was heard of lately: from itself, or in a large fleet from its hub.
    fn hears_carrier(&self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let peers = self.peers.lock();
        if !peers.uses_hubs(now) {
            return peers.hears(now, vm);
        }
        drop(peers);
        self.carriers.lock().knows(now, vm)
    }

    /// Counts a request of another VM; `None` if this one carries as many as it can.
    pub(crate) fn begin_carry(self: &Arc<Self>) -> Option<CarryPermit> {
        let most = (f64::from(self.settings.max_fds) * CARRIED_FD_SHARE) as usize;
        let permit = CarryPermit(self.clone());
        (self.carried.fetch_add(1, SeqCst) < most).then_some(permit)
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

/// Asks hubs for carriers while this VM reaches no endpoint and knows only hubs, until it is dropped.
pub(super) async fn follow_carriers(node: Arc<Node>) {
    loop {
        let changed = node.link_changed.listen();
        if node.is_connected() || !node.peers.lock().uses_hubs(node.clock.now()) {
            changed.await;
            continue;
        }
        ask_for_carriers(&node).await;
        let pause = CARRIERS_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0);
        node.clock.sleep(pause).await;
    }
}

async fn ask_for_carriers(node: &Arc<Node>) {
    let control = |a: SocketAddr| SocketAddr::new(a.ip(), node.settings.control.port());
    let mut known: Vec<_> = {
        let hubs = node.peers.lock().known_hubs(node.clock.now());
        hubs.into_iter().map(control).collect()
    };
    if known.is_empty() {
        known.clone_from(&node.settings.seeds);
    }
    known.retain(|a| *a != node.settings.control);
    let mut others = BTreeSet::new();
    for addr in known.iter().copied() {
        if let Some(response) = request_carriers(node, addr).await {
            others.extend(response.hubs);
        }
    }
    let mut others: Vec<_> = others.into_iter().filter(|a| !known.contains(a)).collect();
    fastrand::shuffle(&mut others);
    for addr in others.into_iter().take(MAX_HUBS_ASKED) {
        // The hubs that it names were asked above.
        request_carriers(node, addr).await;
    }
}

/// Asks a hub for carriers, and adds them to those that this VM knows.
async fn request_carriers(node: &Arc<Node>, addr: SocketAddr) -> Option<CarriersResponse> {
    let head = RequestHead {
        method: "POST".into(),
        target: CARRIERS_PATH.into(),
        minor_version: 1,
        headers: Headers::default(),
    };
    let limits = (CARRIERS_TIMEOUT, MAX_CARRIERS_RESPONSE);
    let reply = match call(&*node.clock, &node.pool, addr, (head, &[]), limits).await {
        Ok(reply) => reply,
        Err(e) => {
            log::info!(hub:% = addr, error:% = e; "hub names no VMs that reach the endpoints");
            return None;
        }
    };
    let decoded = rmp_serde::from_slice::<CarriersResponse>(&reply.body);
    let response = match decoded {
        Ok(response) => response,
        Err(e) => {
            log::warn!(hub:% = addr, status = reply.head.status, error:% = e; "cannot decode the VMs that reach the endpoints");
            return None;
        }
    };
    log::info!(hub:% = addr, vms = response.carriers.len(), hubs = response.hubs.len(); "VMs that reach the endpoints");
    let now = node.clock.now();
    let named = response.carriers.iter().cloned();
    let named = named.filter(|c| c.vm != node.settings.vm);
    let mut carriers = node.carriers.lock();
    carriers.replace(now, Some(&response.zone), named);
    drop(carriers);
    Some(response)
}

/// Serves the question for carriers.
pub(super) fn serve_carriers(node: &Node) -> (u16, Vec<u8>) {
    let now = node.clock.now();
    let port = node.settings.control.port();
    let (mut carriers, hubs) = {
        let peers = node.peers.lock();
        (peers.carriers(now, port), peers.other_hubs(now))
    };
    if node.carries() {
        carriers.push(Carrier {
            vm: node.settings.vm.clone(),
            addr: node.settings.control,
            zone: node.settings.zone.clone(),
            millicores: node.settings.millicores,
        });
    }
    carriers.retain(|c| c.zone == node.settings.zone);
    fastrand::shuffle(&mut carriers);
    carriers.truncate(MAX_CARRIERS_NAMED);
    let control = |a: SocketAddr| SocketAddr::new(a.ip(), port);
    let response = CarriersResponse {
        zone: node.settings.zone.clone(),
        carriers,
        hubs: hubs.into_iter().map(control).collect(),
    };
    match rmp_serde::to_vec(&response) {
        Ok(bytes) => (200, bytes),
        Err(e) => {
            log::error!(error:% = e; "cannot encode the VMs that reach the endpoints");
            (500, Vec::new())
        }
    }
}
