//! The platform's lists of VMs and endpoints.

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
    /// Shuts down soon.
    Leaving,
}

/// A VM of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Identifier.
    pub vm: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// State; the list lags behind the VM's actual state.
    pub state: VmState,
    /// Address on which its entry process listens for other VMs.
    pub addr: SocketAddr,
}

/// The VM list at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Revision, which increases with each change.
    pub revision: u64,
    /// Live and leaving VMs.
    pub vms: Vec<Vm>,
}

/// State of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Accepts new requests.
    Live,
    /// Accepts no new requests and shuts down soon.
    Leaving,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identifier.
    pub id: EndpointId,
    /// Model or service that it offers.
    pub serves: ModelId,
    /// Whether it runs on spot capacity, which may be evicted at short notice.
    pub cheap: bool,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// State.
    pub state: EndpointState,
}

/// The endpoints of one availability zone at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEndpoints {
    /// Availability zone.
    pub zone: ZoneId,
    /// Revision, which increases with each change in this zone.
    pub revision: u64,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}
