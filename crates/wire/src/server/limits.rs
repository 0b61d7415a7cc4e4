//! Limits on what a peer may take.

use std::time::Duration;

/// Time and connection limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Longest time for a head to arrive, once its connection is open or its last answer is sent.
    pub head_timeout: Duration,
    /// Longest time that one write of an answer may take.
    pub write_timeout: Duration,
    /// Most connections at once; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(20),
            max_connections: 4096,
        }
    }
}
