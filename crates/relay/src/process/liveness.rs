//! Checks whether endpoints that are silent accept connections.

use {
    super::Node,
    clock::{Elapsed, Instant, timeout},
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
    /// Whether a connection was accepted; `None` while the check runs.
    accepts: Option<bool>,
}

/// The latest checks by address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionChecks(HashMap<SocketAddr, ConnectionCheck>);

impl Node {
    /// Whether an endpoint accepted a connection in its latest check; `None` if there is none.
    pub(crate) fn accepts_connections(&self, addr: SocketAddr) -> Option<bool> {
        let now = self.clock.now();
        let checks = self.connection_checks.lock();
        let check = checks.0.get(&addr)?;
        check.accepts.filter(|_| now.since(check.began) < CHECK_AGE)
    }

    /// Checks whether an endpoint accepts connections, unless it has just been checked: many requests
    /// wait for one that is silent.
    pub(crate) fn check_connections(self: &Arc<Self>, addr: SocketAddr) {
        let began = self.clock.now();
        let mut checks = self.connection_checks.lock();
        checks.0.retain(|_, c| began.since(c.began) < CHECK_AGE);
        if checks.0.contains_key(&addr) {
            return;
        }
        let accepts = None;
        checks.0.insert(addr, ConnectionCheck { began, accepts });
        drop(checks);
        let node = self.clone();
        let check = async move {
            let accepts = matches!(node.open_spare(addr, CHECK_TIMEOUT).await, Ok(Ok(())));
            log::info!(addr:% = addr, accepts = accepts; "silent endpoint checked");
            if let Some(check) = node.connection_checks.lock().0.get_mut(&addr) {
                check.accepts = Some(accepts);
            }
        };
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
