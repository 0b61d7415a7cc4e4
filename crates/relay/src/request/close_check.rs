//! Whether a response that ended with its connection is complete. The system closes the connections of a
//! killed process like those of a process that has sent everything, so the response is taken for complete
//! only if the endpoint still accepts connections.

use {
    super::endpoint_call::CONNECT_TIMEOUT,
    crate::process::Node,
    clock::timeout,
    detour::ConnectFailure,
    h1::Conn,
    std::{io, net::SocketAddr, time::Duration},
    types::AttemptId,
};

/// Time for which a new connection must stay open. A process that ends closes its sockets one after the
/// other, and may close its listener last.
const SETTLE_TIME: Duration = Duration::from_millis(5);
/// Connections that are tried: an endpoint at its limit accepts and resets them, but a process that has ended
/// accepts no second one.
const MAX_CONNECTIONS: u32 = 2;

/// What became of a connection to the endpoint.
enum Opened {
    Lasts(Conn),
    /// The peer accepted and closed it.
    Closed,
    /// It was not accepted.
    Failed(io::Error),
}

/// A check of the endpoint after a response that ended with its connection.
#[derive(Clone, Copy)]
pub(super) struct CloseCheck<'a> {
    node: &'a Node,
    addr: SocketAddr,
    attempt: &'a AttemptId,
}

impl<'a> CloseCheck<'a> {
    /// Creates a check of the endpoint at `addr` for a caller's attempt.
    pub(super) fn new(node: &'a Node, addr: SocketAddr, attempt: &'a AttemptId) -> Self {
        Self {
            node,
            addr,
            attempt,
        }
    }

    /// Fails unless the endpoint still accepts connections. The connection is kept for another request.
    pub(super) async fn confirm(&self) -> io::Result<()> {
        for _ in 0..MAX_CONNECTIONS {
            match self.open().await {
                Opened::Lasts(conn) => {
                    log::debug!(request:% = self.attempt, addr:% = self.addr, complete = true; "response ended with its connection");
                    let node = self.node;
                    node.pool.put_unused(node.clock.now(), self.addr, conn);
                    return Ok(());
                }
                Opened::Closed => {}
                Opened::Failed(e) => {
                    log::warn!(request:% = self.attempt, addr:% = self.addr, complete = false, error:% = e; "response ended with its connection");
                    metrics::counter!("celerystage_unconfirmed_ends_total").increment(1);
                    return Err(e);
                }
            }
        }
        log::info!(request:% = self.attempt, addr:% = self.addr, complete = true, tried = MAX_CONNECTIONS; "response ended with its connection, and the endpoint closes new ones");
        Ok(())
    }

    async fn open(&self) -> Opened {
        let node = self.node;
        let began = node.clock.now();
        let opened = timeout(&*node.clock, CONNECT_TIMEOUT, Conn::connect(self.addr)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let conn = match opened {
            Ok(conn) => conn,
            // A connection that is not accepted is refused instead.
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => return Opened::Closed,
            Err(e) => {
                let failure = ConnectFailure {
                    addr: self.addr,
                    took: node.clock.now().since(began),
                    limit: CONNECT_TIMEOUT,
                };
                let timed_out = e.kind() == io::ErrorKind::TimedOut;
                node.record_connect_failure(failure, (!timed_out).then_some(&e));
                return Opened::Failed(e);
            }
        };
        node.record_accepted();
        node.clock.sleep(SETTLE_TIME).await;
        if conn.is_reusable() {
            return Opened::Lasts(conn);
        }
        Opened::Closed
    }
}
