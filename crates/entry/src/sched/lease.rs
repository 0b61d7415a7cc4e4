//! A slot of an endpoint, held by a request.

use {
    clock::Stamp,
    route::{RequestOutcome, Requirements},
    std::{future::Future, net::SocketAddr, pin::Pin, time::Duration},
    types::{ClassId, EndpointId, ModelId, OrgId, Refusal, Tier, Tokens},
};

/// What a request asks of the scheduler.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// Model or service.
    pub(crate) serves: ModelId,
    /// Organisation that the request runs for.
    pub(crate) org: OrgId,
    /// The organisation's share relative to others.
    pub(crate) weight: u32,
    /// Class of work.
    pub(crate) class: ClassId,
    /// Service tier.
    pub(crate) tier: Tier,
    /// When the request arrived.
    pub(crate) arrived: Stamp,
    /// When the first token is due.
    pub(crate) deadline: Stamp,
    /// Length of the prompt.
    pub(crate) prompt: Tokens,
    /// What the request needs of its endpoint.
    pub(crate) need: Requirements,
    /// Whether the request was dispatched before, or lost time with a scheduler that went away. It is
    /// not refused for lateness.
    pub(crate) resumed: bool,
}

/// The scheduler's side of a lease.
pub(crate) trait Slot: Send + Sync {
    /// Tells that the first token came `after` the request was sent.
    fn first_token(&self, after: Duration);

    /// Tells that `tokens` more came in `span`.
    fn progress(&self, tokens: Tokens, span: Duration);

    /// Gives the slot back.
    fn done(&self, ending: RequestOutcome);
}

/// A slot of an endpoint. It is given back by [`Lease::end`], or when dropped as cancelled.
pub(crate) struct Lease {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Where it listens.
    pub(crate) addr: SocketAddr,
    slot: Option<Box<dyn Slot>>,
}

impl Lease {
    pub(crate) fn new(endpoint: EndpointId, addr: SocketAddr, slot: Box<dyn Slot>) -> Self {
        Self {
            endpoint,
            addr,
            slot: Some(slot),
        }
    }

    /// Tells that the first token came `after` the request was sent.
    pub(crate) fn first_token(&self, after: Duration) {
        if let Some(slot) = &self.slot {
            slot.first_token(after);
        }
    }

    /// Tells that `tokens` more came in `span`.
    pub(crate) fn progress(&self, tokens: Tokens, span: Duration) {
        if let Some(slot) = &self.slot {
            slot.progress(tokens, span);
        }
    }

    /// Gives the slot back.
    pub(crate) fn end(mut self, ending: RequestOutcome) {
        if let Some(slot) = self.slot.take() {
            slot.done(ending);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.done(RequestOutcome::Cancelled);
        }
    }
}

/// A lease in the making. Dropping it withdraws the request from its queue.
pub(crate) type Acquiring<'a> = Pin<Box<dyn Future<Output = Result<Lease, Refusal>> + Send + 'a>>;

/// Gives out leases.
pub(crate) trait Dispatch: Send + Sync {
    /// Waits for a slot, or for the decision that the request is refused.
    fn acquire(&self, ask: Ask) -> Acquiring<'_>;
}
