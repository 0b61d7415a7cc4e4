//! Idle connections by address.

use {
    crate::conn::Conn,
    clock::{Instant, SharedClock},
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Idle connections kept for one address.
const MAX_IDLE: usize = 32;
/// Idle time after which a connection is not used again. Shorter than the peers' limits.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

struct Idle {
    conn: Conn,
    since: Instant,
}

pub(super) struct Pool {
    clock: SharedClock,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    pub(super) fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// Takes a connection that is still open and has nothing to read.
    pub(super) fn take(&self, addr: SocketAddr) -> Option<Conn> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&addr)?;
        while let Some(last) = list.pop() {
            if now.since(last.since) < IDLE_LIMIT && last.conn.reusable() {
                return Some(last.conn);
            }
        }
        idle.remove(&addr);
        None
    }

    /// Keeps a connection whose last response was read to its end, and closes those that were idle for
    /// too long, also to addresses that are not called any more.
    pub(super) fn keep(&self, addr: SocketAddr, conn: Conn) {
        let since = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|_, list| {
            list.retain(|i| since.since(i.since) < IDLE_LIMIT);
            !list.is_empty()
        });
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(Idle { conn, since });
        }
    }
}
