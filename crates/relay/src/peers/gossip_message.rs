//! One datagram.

use {
    route::Load,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    types::{EndpointId, Incarnation, ServiceId, Version, VmId, ZoneId},
};

/// Most addresses of other VMs in one datagram.
pub(crate) const MAX_ADDRS: usize = 8;

/// What one VM tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    /// Sender.
    pub(crate) vm: VmId,
    /// Start of its process.
    pub(crate) inc: Incarnation,
    /// Its availability zone.
    pub(crate) zone: ZoneId,
    /// Processor time that it has, in thousandths of a core.
    #[serde(rename = "power")]
    pub(crate) millicores: u32,
    /// Number of the datagram; a later one replaces an earlier one.
    pub(crate) seq: u64,
    /// Its configuration.
    pub(crate) version: Version,
    /// Its requests by endpoint.
    pub(crate) loads: Vec<(EndpointId, Load)>,
    /// Prompt tokens a second that it has to be read, by service.
    pub(crate) rates: Vec<(ServiceId, u64)>,
    /// Whether it will end soon.
    pub(crate) leaving: bool,
    /// Milliseconds since 1970 by its own clock.
    pub(crate) unix_ms: u64,
    /// Some VMs that it hears from.
    pub(crate) addrs: Vec<SocketAddr>,
}
