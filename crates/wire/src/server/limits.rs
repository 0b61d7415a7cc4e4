//! Limits on the resources that callers can occupy.

use std::time::Duration;

/// Timeouts and connection limit of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Timeout for a request head to arrive, from when the connection is opened or its previous
    /// response is sent.
    pub head_timeout: Duration,
    /// Timeout of each write of a response.
    pub write_timeout: Duration,
    /// Most open connections; further ones are closed immediately.
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
