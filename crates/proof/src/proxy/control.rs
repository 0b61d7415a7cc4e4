//! Commands that the fault proxy's control interface takes.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Number of a link, which identifies it in commands.
pub type LinkId = usize;

/// Directions in which bytes are held back until the fault is cleared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldDirection {
    /// Neither.
    #[default]
    None,
    /// From the caller to the target.
    Forward,
    /// From the target to the caller.
    Back,
    /// Both.
    Both,
}

/// Faults of one link. The default has none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkFaults {
    /// Delay of each chunk in each direction, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Directions that are held back.
    #[serde(default)]
    pub hold: HeldDirection,
    /// Resets connections after this many bytes from the target.
    #[serde(default)]
    pub reset_after: Option<u64>,
    /// Number of future connections that are reset when the target starts to respond.
    #[serde(default)]
    pub lose_answers: u32,
    /// Number of future connections whose bytes are sent to the target a second time.
    #[serde(default)]
    pub repeat: u32,
    /// Bytes per second in each direction.
    #[serde(default)]
    pub rate: Option<u64>,
}

impl LinkFaults {
    /// Delay of each chunk.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// A command to the fault proxy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyCommand {
    /// Opens a link. Each connection goes to the next target that accepts, in rotation. The
    /// response is an [`OpenedLink`].
    Open(Vec<SocketAddr>),
    /// Replaces the targets of a link for its future connections.
    Targets(LinkId, Vec<SocketAddr>),
    /// Replaces the faults of a link.
    Faults(LinkId, LinkFaults),
    /// Resets all connections of a link.
    Reset(LinkId),
}

/// A new link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenedLink {
    /// Its number.
    pub link: LinkId,
    /// Where it listens.
    pub addr: SocketAddr,
}
