//! VMs and endpoints as the platform lists them.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    types::{EndpointId, ModelId, VmId, ZoneId},
};

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// To be stopped soon.
    Leaving,
}

/// A VM of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Identifier.
    pub vm: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// State, with a lag.
    pub state: VmState,
    /// Where its entry listens for other VMs.
    pub addr: SocketAddr,
}

/// The VM list at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Grows with every change.
    pub revision: u64,
    /// Live and leaving VMs.
    pub vms: Vec<Vm>,
}

/// State of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes work.
    Live,
    /// Takes no new work and ends soon.
    Leaving,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identifier.
    pub id: EndpointId,
    /// Model or service that it offers.
    pub serves: ModelId,
    /// Whether it may be evicted at short notice.
    pub cheap: bool,
    /// Where it listens.
    pub addr: SocketAddr,
    /// State.
    pub state: EndpointState,
}

/// Endpoints of one availability zone at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEndpoints {
    /// Availability zone.
    pub zone: ZoneId,
    /// Grows with every change of this zone.
    pub revision: u64,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
}
