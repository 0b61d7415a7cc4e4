//! A place at an endpoint that a request holds.

use {
    crate::process::Node,
    clock::Stamp,
    route::{Placement, PlacementOutcome},
    std::{net::SocketAddr, sync::Arc},
    types::ServiceId,
};

/// Gives its place back when it is dropped.
pub(crate) struct Slot {
    node: Arc<Node>,
    service: ServiceId,
    choice: Placement,
    ended: PlacementOutcome,
    began: Stamp,
    /// Where the endpoint listens.
    pub(crate) addr: SocketAddr,
    /// Where the engine listens that likely has what this one lacks of the prompt.
    pub(crate) fetch: Option<SocketAddr>,
}

impl Slot {
    pub(crate) fn new(
        node: Arc<Node>,
        service: ServiceId,
        choice: Placement,
        addr: SocketAddr,
        fetch: Option<SocketAddr>,
    ) -> Self {
        let began = node.clock.now();
        Self {
            node,
            service,
            choice,
            ended: PlacementOutcome::Cancelled,
            began,
            addr,
            fetch,
        }
    }

    pub(crate) fn endpoint(&self) -> &types::EndpointId {
        &self.choice.id
    }

    /// Tells that the first event or the answer came.
    pub(crate) fn first(&mut self) {
        let now = self.node.clock.now();
        let took = now.since(self.began);
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.first_response(now, &mut self.choice, took);
        }
    }

    /// Tells that the answer goes on.
    pub(crate) fn progress(&mut self) {
        let now = self.node.clock.now();
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.progress(now, &self.choice.id);
        }
    }

    /// Tells how the request ended; dropped without it, it counts as cancelled.
    pub(crate) fn end(mut self, how: PlacementOutcome) {
        self.ended = how;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.finish(now, &self.choice, self.ended);
        }
    }
}
