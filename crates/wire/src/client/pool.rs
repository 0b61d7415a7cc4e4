//! Idle connections by address.

use {
    crate::conn::SharedStream,
    clock::{Instant, SharedClock},
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Most idle connections kept for one address.
const MAX_IDLE: usize = 32;
/// Idle time after which a connection is not reused. It is shorter than the peers' idle timeouts.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

struct IdleConn {
    conn: SharedStream,
    since: Instant,
}

pub(super) struct Pool {
    clock: SharedClock,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConn>>>,
}

impl Pool {
    pub(super) fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection that is still open and has nothing to read.
    pub(super) fn take_idle(&self, addr: SocketAddr) -> Option<SharedStream> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&addr)?;
        while let Some(last) = list.pop() {
            if now.since(last.since) < IDLE_TIMEOUT && last.conn.is_reusable() {
                return Some(last.conn);
            }
        }
        idle.remove(&addr);
        None
    }

    /// Keeps a connection whose last response was read to its end, and closes all connections that
    /// have been idle for too long, including those to addresses that are no longer called.
    pub(super) fn put_back(&self, addr: SocketAddr, conn: SharedStream) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|_, list| {
            list.retain(|i| now.since(i.since) < IDLE_TIMEOUT);
            !list.is_empty()
        });
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(IdleConn { conn, since: now });
        }
    }
}
