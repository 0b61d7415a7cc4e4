//! The VMs that carry requests of this one while it reaches no endpoint, and those that this one carries.

use {
    super::Node,
    detour::Carrier,
    h1::{Headers, RequestHead, call},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering::SeqCst},
        time::Duration,
    },
    types::{Bytes, EndpointId, VmId, ZoneId},
};

/// Path of the call that asks a hub for VMs that reach the endpoints.
pub(super) const CARRIERS_PATH: &str = "/carriers";
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
    /// Whether this VM takes requests of others to their endpoints.
    pub(super) fn carries(&self) -> bool {
        self.is_connected() && !self.lifecycle.is_stopping()
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
