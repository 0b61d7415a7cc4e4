//! Limits on what a peer may take.

use std::time::Duration;

/// Time and connection limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Longest time for a head to arrive, once its connection is open or its last answer is sent.
    pub head: Duration,
    /// Longest time that one write of an answer may take.
    pub write: Duration,
    /// Most connections at once; further ones are closed at once.
    pub connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(30),
            write: Duration::from_secs(20),
            connections: 4096,
        }
    }
}
