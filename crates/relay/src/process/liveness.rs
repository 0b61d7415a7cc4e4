//! Checks whether endpoints that are silent accept connections.

use {
    super::Node,
    crate::request::SlotLease,
    clock::{Elapsed, Instant, timeout},
    h1::Conn,
    std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration},
    types::{EndpointId, ServiceId},
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
        let (addr, began) = (slot.addr, self.clock.now());
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
        let (service, id) = (slot.service().clone(), slot.endpoint().clone());
        let check = check_endpoint(self.clone(), addr, service, id);
        self.executor.spawn(check).detach();
    }

    /// Opens a connection to an endpoint and keeps it for a request.
    pub(super) async fn open_spare(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> Result<io::Result<()>, Elapsed> {
        let opened = timeout(&*self.clock, limit, Conn::connect(addr)).await?;
        Ok(opened.map(|conn| self.pool.put_unused(self.clock.now(), addr, conn)))
    }
}

async fn check_endpoint(node: Arc<Node>, addr: SocketAddr, service: ServiceId, id: EndpointId) {
    let opened = node.open_spare(addr, CHECK_TIMEOUT).await;
    let accepts = match opened {
        Ok(Ok(())) => Some(true),
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Some(false),
        Ok(Err(e)) => {
            log::warn!(endpoint:% = id, addr:% = addr, error:% = e; "cannot check a silent endpoint");
            None
        }
        Err(_) => node.has_contact_near(&service, &id).then_some(false),
    };
    log::info!(endpoint:% = id, addr:% = addr, accepts:? = accepts; "silent endpoint checked");
    if let Some(check) = node.connection_checks.lock().0.get_mut(&addr) {
        check.accepts = accepts;
        match accepts {
            Some(true) => check.refusals = 0,
            Some(false) => check.refusals += 1,
            None => {}
        }
    }
}
