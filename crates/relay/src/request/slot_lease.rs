//! The lease of an endpoint slot for one request.

use {
    crate::{endpoints::Endpoint, process::Node},
    clock::Instant,
    route::{Placement, PlacementOutcome},
    std::{net::SocketAddr, sync::Arc},
    types::ServiceId,
};

/// A leased slot of an endpoint, which is released when it is dropped.
pub(crate) struct SlotLease {
    node: Arc<Node>,
    service: ServiceId,
    placement: Placement,
    outcome: PlacementOutcome,
    began: Instant,
    /// Address of the endpoint.
    pub(crate) addr: SocketAddr,
    /// Start time of the endpoint.
    pub(crate) born: u64,
    /// Address of an engine that probably has prompt parts cached that this endpoint lacks.
    pub(crate) kv_source: Option<SocketAddr>,
}

impl SlotLease {
    pub(crate) fn new(
        node: Arc<Node>,
        service: ServiceId,
        placement: Placement,
        target: &Endpoint,
        kv_source: Option<SocketAddr>,
    ) -> Self {
        let began = node.clock.now();
        Self {
            node,
            service,
            placement,
            outcome: PlacementOutcome::Cancelled,
            began,
            addr: target.addr,
            born: target.born,
            kv_source,
        }
    }

    pub(crate) fn service(&self) -> &ServiceId {
        &self.service
    }

    pub(crate) fn endpoint(&self) -> &types::EndpointId {
        &self.placement.id
    }

    /// Records the first event of a stream or a complete buffered response.
    pub(crate) fn first_event(&mut self) {
        let now = self.node.clock.now();
        let took = now.since(self.began);
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.record_first_response(now, &mut self.placement, took);
        }
    }

    /// Records a further event.
    pub(crate) fn next_event(&mut self) {
        let now = self.node.clock.now();
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.record_progress(now, &self.placement.id);
        }
    }

    /// Records how the attempt ended and releases the slot. Without this call the attempt counts as
    /// cancelled.
    pub(crate) fn finish(mut self, outcome: PlacementOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.finish(now, &self.placement, self.outcome);
        }
    }
}
