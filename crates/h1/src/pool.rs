//! Idle connections kept for reuse.

use {
    super::{Conn, ResponseHead},
    clock::Instant,
    parking_lot::Mutex,
    std::{collections::HashMap, io, net::SocketAddr, time::Duration},
};

/// Idle time after which a connection without a stated timeout is not reused.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// A peer may close this much before its stated timeout, as both sides measure idle time from
/// different events.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Most idle connections kept for one address.
const MAX_IDLE: usize = 64;

/// A connection checked out of a pool.
pub struct PooledConn {
    /// The connection.
    pub conn: Conn,
    /// Whether it carried a request before.
    pub reused: bool,
}

struct Idle {
    conn: Conn,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection that is still sound, newest first.
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

    /// Takes an idle connection or opens one.
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

    /// Keeps a connection after a whole answer with this head, if it is fit for another request.
    pub fn put_back(&self, now: Instant, addr: SocketAddr, conn: Conn, head: &ResponseHead) {
        if !head.keeps_alive() || !conn.is_reusable() {
            return;
        }
        let idle = stated_timeout(head).map_or(DEFAULT_IDLE, |t| t.saturating_sub(IDLE_MARGIN));
        if idle.is_zero() {
            return;
        }
        let until = now + idle;
        let mut table = self.idle.lock();
        let list = table.entry(addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(Idle { conn, until });
        }
    }

    /// Drops connections whose idle time is over or whose peer has closed.
    pub fn remove_expired(&self, now: Instant) {
        let mut idle = self.idle.lock();
        for list in idle.values_mut() {
            list.retain(|e| e.until > now && e.conn.is_reusable());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Drops all connections to `addr`.
    pub fn remove_addr(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }
}

fn stated_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?;
    let mut parts = value.split(',').filter_map(|p| p.trim().split_once('='));
    let (_, secs) = parts.find(|(k, _)| k.trim().eq_ignore_ascii_case("timeout"))?;
    secs.trim().parse().ok().map(Duration::from_secs)
}
