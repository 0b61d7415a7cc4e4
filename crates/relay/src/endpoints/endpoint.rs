//! An endpoint as it is listed.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    types::{EndpointId, ServiceId, ZoneId},
};

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identifier, which a restarted endpoint may keep.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work and ends soon.
    pub leaving: bool,
    /// Whether it may be reclaimed at short notice.
    pub cheap: bool,
    /// Time until it has its full speed.
    pub cold: Duration,
    /// When it started, in milliseconds since the Unix epoch; tells starts under one id apart.
    pub born: u64,
}
