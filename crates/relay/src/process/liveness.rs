//! Checks whether endpoints that are silent accept connections.

use {
    super::Node,
    crate::request::{EndpointTarget, Probe, SlotLease, probe},
    clock::{Elapsed, Instant, timeout},
    detour::ConnectFailure,
    h1::Conn,
    std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration},
};

/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which the result of a check counts.
const CHECK_AGE: Duration = Duration::from_secs(1);

/// The latest check of an endpoint.
#[derive(Debug, Clone, Copy)]
struct ConnectionCheck {
    began: Instant,
    /// Whether a connection was accepted; `None` while the check runs, or if this VM itself may be the
    /// reason that there was none.
    accepts: Option<bool>,
    /// Number of checks in a row, this one included, in which none was accepted.
    refusals: u32,
}

/// The latest checks by address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionChecks(HashMap<SocketAddr, ConnectionCheck>);

impl Node {
    /// Whether an endpoint accepted a connection in its latest check; `None` if that is unknown.
    pub(crate) fn accepts_connections(&self, addr: SocketAddr) -> Option<bool> {
        let now = self.clock.now();
        let checks = self.connection_checks.lock();
        let check = checks.0.get(&addr)?;
        check.accepts.filter(|_| now.since(check.began) < CHECK_AGE)
    }

    /// Number of checks in a row, up to now, in which an endpoint accepted no connection.
    pub(crate) fn refused_checks(&self, addr: SocketAddr) -> u32 {
        let checks = self.connection_checks.lock();
        checks.0.get(&addr).map_or(0, |c| c.refusals)
    }

    /// Checks whether the endpoint of a lease accepts connections, unless that has just been checked:
    /// many requests wait for an endpoint that is silent.
    pub(crate) fn check_connections(self: &Arc<Self>, slot: &SlotLease) {
        let (addr, began) = (slot.target.addr, self.clock.now());
        let mut checks = self.connection_checks.lock();
        checks
            .0
            .retain(|_, c| began.since(c.began) < CHECK_AGE.saturating_mul(2));
        let last = checks.0.get(&addr);
        if last.is_some_and(|c| began.since(c.began) < CHECK_AGE) {
            return;
        }
        let check = ConnectionCheck {
            began,
            accepts: None,
            refusals: last.map_or(0, |c| c.refusals),
        };
        checks.0.insert(addr, check);
        drop(checks);
        let check = check_endpoint(self.clone(), slot.target.clone());
        self.executor.spawn(check).detach();
    }

    /// Opens a connection to an endpoint and keeps it for a request.
    pub(crate) async fn open_spare(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> Result<io::Result<()>, Elapsed> {
        let opened = timeout(&*self.clock, limit, Conn::connect(addr)).await?;
        Ok(opened.map(|conn| {
            self.record_accepted();
            self.pool.put_unused(self.clock.now(), addr, conn);
        }))
    }
}

async fn check_endpoint(node: Arc<Node>, target: EndpointTarget) {
    let accepts = match accepts_directly(&node, &target).await {
        // The reason may be with the links of this VM.
        Some(false) | None if !node.is_connected() => accepts_carrier(&node, &target).await,
        accepts => accepts,
    };
    log::info!(endpoint:% = target.id, addr:% = target.addr, accepts:? = accepts; "silent endpoint checked");
    if let Some(check) = node.connection_checks.lock().0.get_mut(&target.addr) {
        check.accepts = accepts;
        match accepts {
            Some(true) => check.refusals = 0,
            Some(false) => check.refusals += 1,
            None => {}
        }
    }
}

async fn accepts_directly(node: &Node, target: &EndpointTarget) -> Option<bool> {
    if !node.is_connected() {
        return None;
    }
    let began = node.clock.now();
    let opened = node.open_spare(target.addr, CHECK_TIMEOUT).await;
    let failure = ConnectFailure {
        addr: target.addr,
        took: node.clock.now().since(began),
        limit: CHECK_TIMEOUT,
    };
    match opened {
        Ok(Ok(())) => Some(true),
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            node.record_connect_failure(failure, Some(&e));
            Some(false)
        }
        Ok(Err(e)) => {
            log::warn!(endpoint:% = target.id, addr:% = target.addr, error:% = e; "cannot check a silent endpoint");
            None
        }
        Err(Elapsed) => {
            node.record_connect_failure(failure, None);
            let contact = node.has_contact_near(&target.service, &target.id);
            contact.then_some(false)
        }
    }
}

/// Whether an endpoint accepts connections of a VM that reaches the endpoints; `None` if none says so.
async fn accepts_carrier(node: &Arc<Node>, target: &EndpointTarget) -> Option<bool> {
    match probe(node, target).await? {
        Probe::Accepts => Some(true),
        Probe::Refuses | Probe::Silent => Some(false),
    }
}
