//! An entry of the endpoint list.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    types::{EndpointId, Release, ServiceId, ZoneId},
};

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identifier; a restarted endpoint may keep it.
    pub id: EndpointId,
    /// Service that it offers.
    pub service: ServiceId,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Largest number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests and shuts down soon.
    pub leaving: bool,
    /// Whether it is a spot endpoint, which may be reclaimed at short notice.
    pub cheap: bool,
    /// Remaining warm-up time until it reaches full speed.
    pub cold: Duration,
    /// Start time in milliseconds since the Unix epoch; distinguishes restarts under the same id. Zero
    /// if the platform doesn't tell it.
    pub born: u64,
    /// Release of its software; `None` if a VM told of the endpoint that doesn't know releases.
    #[serde(default)]
    pub release: Option<Release>,
    /// Sequence number of the heartbeat that wrote the entry; `None` for an entry from another VM, as
    /// gossip carries no sequence numbers.
    #[serde(skip)]
    pub sequence: Option<u64>,
}
