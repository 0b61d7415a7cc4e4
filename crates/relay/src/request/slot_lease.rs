//! The lease of an endpoint slot for one request.

use {
    super::endpoint_target::EndpointTarget,
    crate::{endpoints::Endpoint, process::Node},
    clock::Instant,
    route::{Placement, PlacementOutcome},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    types::{Release, ServiceId},
};

/// Time after the first event in which a request may still crash the endpoint that answers it.
const TRIAL_TIME: Duration = Duration::from_millis(250);

/// A leased slot of an endpoint, which is released when it is dropped.
pub(crate) struct SlotLease {
    node: Arc<Node>,
    placement: Placement,
    outcome: PlacementOutcome,
    /// When the slot was leased.
    pub(crate) began: Instant,
    /// When the first event or the whole response arrived.
    answered: Option<Instant>,
    /// Whether the request is known not to harm the endpoint.
    harmless: bool,
    /// The endpoint.
    pub(crate) target: EndpointTarget,
    /// Release of its software.
    pub(crate) release: Option<Release>,
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
            placement,
            outcome: PlacementOutcome::Cancelled,
            began,
            answered: None,
            harmless: false,
            target: EndpointTarget {
                service,
                id: target.id.clone(),
                addr: target.addr,
                born: target.born,
            },
            release: target.release.clone(),
            kv_source,
        }
    }

    pub(crate) fn service(&self) -> &ServiceId {
        &self.target.service
    }

    pub(crate) fn endpoint(&self) -> &types::EndpointId {
        &self.target.id
    }

    /// Records the first event of a stream or a complete buffered response.
    pub(crate) fn first_event(&mut self) {
        let now = self.node.clock.now();
        let took = now.since(self.began);
        self.answered.get_or_insert(now);
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.target.service) {
            placer.record_first_response(now, &mut self.placement, took);
        }
    }

    /// Records a further event.
    pub(crate) fn next_event(&mut self) {
        let now = self.node.clock.now();
        let mut placers = self.node.placers.lock();
        if let Some(placer) = placers.get_mut(&self.target.service) {
            placer.record_progress(now, &self.placement.id);
        }
    }

    /// Whether the endpoint has at most begun to answer, so that the request may crash it yet.
    pub(crate) fn on_trial(&self) -> bool {
        let now = self.node.clock.now();
        let age = self.answered.map(|at| now.since(at));
        age.is_none_or(|age| age < TRIAL_TIME)
    }

    /// Whether the response has just gone on long enough to show that the request is harmless.
    pub(crate) fn passes_trial(&mut self) -> bool {
        !self.on_trial() && !std::mem::replace(&mut self.harmless, true)
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
        if let Some(placer) = placers.get_mut(&self.target.service) {
            placer.finish(now, &self.placement, self.outcome);
        }
    }
}
