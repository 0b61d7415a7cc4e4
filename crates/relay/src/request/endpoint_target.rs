//! The endpoint process that a request is meant for.

use {
    route::EndpointStart,
    std::net::SocketAddr,
    types::{EndpointId, ServiceId},
};

/// The endpoint process that a request is meant for.
#[derive(Debug, Clone)]
pub(crate) struct EndpointTarget {
    /// Service that the endpoint offers.
    pub(crate) service: ServiceId,
    pub(crate) id: EndpointId,
    pub(crate) addr: SocketAddr,
    /// Start time of the process; zero if the platform doesn't tell it.
    pub(crate) born: u64,
}

impl EndpointTarget {
    /// The start of the endpoint.
    pub(crate) fn start(&self) -> EndpointStart {
        EndpointStart {
            id: self.id.clone(),
            born: self.born,
            addr: self.addr,
        }
    }
}
