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
    /// Start time in milliseconds since the Unix epoch that the peer gave on this connection. A
    /// restart of the peer breaks the connection, so it holds as long as the connection.
    pub proof: Option<u64>,
}

impl PooledConn {
    /// Opens a new connection.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            conn: Conn::connect(addr).await?,
            reused: false,
            proof: None,
        })
    }

    /// Whether the peer may have answered an earlier request on it, so that a copy of that answer may arrive.
    pub fn has_answered(&self) -> bool {
        self.reused || self.proof.is_some()
    }
}

struct IdleConn {
    conn: Conn,
    until: Instant,
    proof: Option<u64>,
}

impl IdleConn {
    fn is_usable(&self, now: Instant) -> bool {
        self.until > now && self.conn.is_reusable()
    }
}

impl From<IdleConn> for PooledConn {
    fn from(entry: IdleConn) -> Self {
        Self {
            conn: entry.conn,
            reused: true,
            proof: entry.proof,
        }
    }
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
            if entry.is_usable(now) {
                return Some(entry.into());
            }
        }
        None
    }

    /// Takes an idle connection on which the peer said that it started at `started`; if there is
    /// none, any idle one.
    pub fn take_proven(&self, now: Instant, addr: SocketAddr, started: u64) -> Option<PooledConn> {
        self.take_idle_with(now, addr, started)
            .or_else(|| self.take_idle(now, addr))
    }

    fn take_idle_with(&self, now: Instant, addr: SocketAddr, proof: u64) -> Option<PooledConn> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&addr)?;
        while let Some(at) = list.iter().rposition(|e| e.proof == Some(proof)) {
            let entry = list.remove(at);
            if entry.is_usable(now) {
                return Some(entry.into());
            }
        }
        None
    }

    /// Takes an idle connection, or opens a new one.
    pub async fn take_or_connect(&self, now: Instant, addr: SocketAddr) -> io::Result<PooledConn> {
        if let Some(pooled) = self.take_idle(now, addr) {
            return Ok(pooled);
        }
        PooledConn::connect(addr).await
    }

    /// Takes an idle connection, if possible one with this proof, or opens a new one.
    pub async fn take_proven_or_connect(
        &self,
        now: Instant,
        addr: SocketAddr,
        started: u64,
    ) -> io::Result<PooledConn> {
        if let Some(pooled) = self.take_proven(now, addr, started) {
            return Ok(pooled);
        }
        PooledConn::connect(addr).await
    }

    /// Puts a connection back after a complete response with this head, if it can carry another
    /// request.
    pub fn put_back(
        &self,
        now: Instant,
        addr: SocketAddr,
        pooled: PooledConn,
        head: &ResponseHead,
    ) {
        let PooledConn { conn, proof, .. } = pooled;
        if !head.keeps_alive() || !conn.is_reusable() {
            return;
        }
        let timeout =
            announced_timeout(head).map_or(DEFAULT_IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_MARGIN));
        if timeout.is_zero() {
            return;
        }
        let until = now + timeout;
        self.add(addr, IdleConn { conn, until, proof });
    }

    /// Puts back a connection that has carried no request yet.
    pub fn put_unused(&self, now: Instant, addr: SocketAddr, conn: Conn) {
        let until = now + DEFAULT_IDLE_TIMEOUT - IDLE_MARGIN;
        let proof = None;
        self.add(addr, IdleConn { conn, until, proof });
    }

    fn add(&self, addr: SocketAddr, entry: IdleConn) {
        let mut table = self.idle.lock();
        let list = table.entry(addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(entry);
        }
    }

    /// Closes connections whose idle timeout has passed or whose peer has closed.
    pub fn remove_expired(&self, now: Instant) {
        let mut idle = self.idle.lock();
        for list in idle.values_mut() {
            list.retain(|e| e.is_usable(now));
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
