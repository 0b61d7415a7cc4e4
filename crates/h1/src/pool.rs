//! A pool of idle connections.

use {
    super::{Conn, ResponseHead},
    clock::Instant,
    parking_lot::Mutex,
    std::{collections::HashMap, io, net::SocketAddr, time::Duration},
};

/// Idle time after which a connection is not reused if the peer announced no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from the timeout that a peer announces, since the two sides measure idle time from
/// different events and the peer may close earlier.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Most idle connections kept for one address.
const MAX_IDLE: usize = 64;

/// A connection taken from a pool.
pub struct PooledConn {
    /// The connection.
    pub conn: Conn,
    /// Whether it has already carried a request.
    pub reused: bool,
}

struct IdleConn {
    conn: Conn,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConn>>>,
}

impl Pool {
    /// Takes the most recently used idle connection that is still usable.
    pub fn take_idle(&self, now: Instant, addr: SocketAddr) -> Option<PooledConn> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&addr)?;
        while let Some(entry) = list.pop() {
            if entry.until > now && entry.conn.is_reusable() {
                let conn = entry.conn;
                return Some(PooledConn { conn, reused: true });
            }
        }
        None
    }

    /// Takes an idle connection, or opens a new one.
    pub async fn take_or_connect(&self, now: Instant, addr: SocketAddr) -> io::Result<PooledConn> {
        if let Some(pooled) = self.take_idle(now, addr) {
            return Ok(pooled);
        }
        let conn = Conn::connect(addr).await?;
        Ok(PooledConn {
            conn,
            reused: false,
        })
    }

    /// Puts a connection back after a complete response with this head, if it can carry another
    /// request.
    pub fn put_back(&self, now: Instant, addr: SocketAddr, conn: Conn, head: &ResponseHead) {
        if !head.keeps_alive() || !conn.is_reusable() {
            return;
        }
        let timeout =
            announced_timeout(head).map_or(DEFAULT_IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_MARGIN));
        if timeout.is_zero() {
            return;
        }
        let until = now + timeout;
        let mut table = self.idle.lock();
        let list = table.entry(addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(IdleConn { conn, until });
        }
    }

    /// Puts back a connection that has carried no request yet.
    pub fn put_unused(&self, now: Instant, addr: SocketAddr, conn: Conn) {
        let until = now + DEFAULT_IDLE_TIMEOUT - IDLE_MARGIN;
        let mut table = self.idle.lock();
        let list = table.entry(addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(IdleConn { conn, until });
        }
    }

    /// Closes connections whose idle timeout has passed or whose peer has closed.
    pub fn remove_expired(&self, now: Instant) {
        let mut idle = self.idle.lock();
        for list in idle.values_mut() {
            list.retain(|e| e.until > now && e.conn.is_reusable());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Closes all idle connections to `addr`.
    pub fn remove_addr(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }
}

/// Idle timeout that the peer announced in its `Keep-Alive` field.
fn announced_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?;
    let mut parts = value.split(',').filter_map(|p| p.trim().split_once('='));
    let (_, secs) = parts.find(|(k, _)| k.trim().eq_ignore_ascii_case("timeout"))?;
    secs.trim().parse().ok().map(Duration::from_secs)
}
