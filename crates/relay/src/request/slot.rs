//! A place at an endpoint that a request holds.

use {
    crate::process::Node,
    clock::Stamp,
    route::{Choice, Ended},
    std::{net::SocketAddr, sync::Arc},
    types::ServiceId,
};

/// Gives its place back when it is dropped.
pub(crate) struct Slot {
    node: Arc<Node>,
    service: ServiceId,
    choice: Choice,
    ended: Ended,
    began: Stamp,
    /// Where the endpoint listens.
    pub(crate) addr: SocketAddr,
    /// Where the engine listens that likely has what this one lacks of the prompt.
    pub(crate) kv_source: Option<SocketAddr>,
}

impl Slot {
    pub(crate) fn new(
        node: Arc<Node>,
        service: ServiceId,
        choice: Choice,
        addr: SocketAddr,
        kv_source: Option<SocketAddr>,
    ) -> Self {
        let began = node.clock.now();
        Self {
            node,
            service,
            choice,
            ended: Ended::Cancelled,
            began,
            addr,
            kv_source,
        }
    }

    pub(crate) fn endpoint(&self) -> &types::EndpointId {
        &self.choice.id
    }

    /// Tells that the first event or the answer came.
    pub(crate) fn first_event(&mut self) {
        let now = self.node.clock.now();
        let took = now.since(self.began);
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.first(now, &mut self.choice, took);
        }
    }

    /// Tells that the answer goes on.
    pub(crate) fn next_event(&mut self) {
        let now = self.node.clock.now();
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.progress(now, &self.choice.id);
        }
    }

    /// Tells how the request ended; dropped without it, it counts as cancelled.
    pub(crate) fn finish(mut self, how: Ended) {
        self.ended = how;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.service) {
            placer.ended(now, &self.choice, self.ended);
        }
    }
}
