//! The gossip datagram.

use {
    super::{MessageFormat, ServiceDemand},
    crate::endpoints::ReadAges,
    rmp_serde::{decode, encode},
    route::{LimitNotice, Load},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    types::{EndpointId, Incarnation, ServiceId, Version, VmId, ZoneId},
};

/// Largest number of addresses of other VMs in one datagram: two hubs in each of 13 zones.
pub(crate) const MAX_ADDRS: usize = 26;

/// The state that a VM sends to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    /// The sender.
    pub(crate) vm: VmId,
    /// Incarnation of its process.
    pub(crate) inc: Incarnation,
    /// Its availability zone.
    pub(crate) zone: ZoneId,
    /// Its CPU share, in thousandths of a core.
    #[serde(rename = "power")]
    pub(crate) millicores: u32,
    /// Sequence number; a datagram replaces those with lower numbers.
    pub(crate) seq: u64,
    /// Version of its configuration.
    pub(crate) version: Version,
    /// Load that it has placed on each endpoint; empty for VMs that receive summaries instead.
    pub(crate) loads: Vec<(EndpointId, Load)>,
    /// Rate of its prompt tokens by service, in tokens per second.
    pub(crate) rates: Vec<(ServiceId, u64)>,
    /// Whether it shuts down soon.
    pub(crate) leaving: bool,
    /// Milliseconds since the Unix epoch by its own clock.
    pub(crate) unix_ms: u64,
    /// Addresses of some VMs that it receives datagrams from.
    pub(crate) addrs: Vec<SocketAddr>,
    /// When it could read the endpoint list; `None` if it doesn't read the platform itself.
    #[serde(default)]
    pub(crate) reads: Option<ReadAges>,
    /// Number of live VMs that it knows of, itself included.
    #[serde(default)]
    pub(crate) vms: u32,
    /// Whether it is a hub of its zone.
    #[serde(default)]
    pub(crate) hub: bool,
    /// Whether it asks for the addresses of hubs.
    #[serde(default)]
    pub(crate) seeks: bool,
    /// Endpoints that said lately that they leave, with their start times.
    #[serde(default)]
    pub(crate) departures: Vec<(EndpointId, u64)>,
    /// Limits that endpoints named or ended lately.
    #[serde(default)]
    pub(crate) limits: Vec<LimitNotice>,
    /// Whether it reaches the endpoints and takes requests of others there.
    #[serde(default)]
    pub(crate) carries: bool,
    /// Slot demand of its callers, by service.
    #[serde(default)]
    pub(crate) demand: Vec<ServiceDemand>,
    /// Whether all peers of its zone support assignments of releases.
    #[serde(default)]
    pub(crate) assigned: bool,
    /// Whether all peers of its zone log the origins of streams.
    #[serde(default)]
    pub(crate) logs: bool,
}

impl GossipMessage {
    /// Encodes the message for the latest format.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Decodes a message of any format, and tells the latest one that its sender reads.
    pub(crate) fn decode(bytes: &[u8]) -> Result<(Self, MessageFormat), decode::Error> {
        let named = MessageFormat::of(bytes);
        // A message to a VM whose format isn't known has more fields than it names.
        for format in MessageFormat::from(named) {
            if let Ok(message) = rmp_serde::from_slice(&format.apply(bytes)) {
                return Ok((message, format));
            }
        }
        Ok((rmp_serde::from_slice(bytes)?, named))
    }
}
