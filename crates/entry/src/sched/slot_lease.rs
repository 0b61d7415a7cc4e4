//! Leases of endpoint slots.

use {
    clock::Instant,
    route::{RequestOutcome, Requirements},
    std::{future::Future, net::SocketAddr, pin::Pin, time::Duration},
    types::{ClassId, EndpointId, ModelId, OrgId, Refusal, Tier, Tokens},
};

/// A request for a slot of an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    /// The model or service that is requested.
    pub(crate) serves: ModelId,
    /// Organisation that the request runs for.
    pub(crate) org: OrgId,
    /// The organisation's weight in fair sharing.
    pub(crate) weight: u32,
    /// Class of the request.
    pub(crate) class: ClassId,
    /// Service tier.
    pub(crate) tier: Tier,
    /// When the request arrived.
    pub(crate) arrived: Instant,
    /// When the first token is due.
    pub(crate) deadline: Instant,
    /// Estimated length of the prompt.
    pub(crate) prompt_tokens: Tokens,
    /// Requirements on the endpoint.
    pub(crate) requirements: Requirements,
    /// Whether the request was dispatched before, or lost time because its scheduler became
    /// unreachable. Such a request is not refused for being late.
    pub(crate) resumed: bool,
}

/// Scheduler side of a lease.
pub(crate) trait Slot: Send + Sync {
    /// Records that the first token arrived `after` the request was sent.
    fn record_first_token(&self, after: Duration);

    /// Records `tokens` more tokens, received in `span`.
    fn record_progress(&self, tokens: Tokens, span: Duration);

    /// Releases the slot.
    fn release(&self, outcome: RequestOutcome);
}

/// A leased slot of an endpoint. Dropping the lease releases the slot as cancelled; [`SlotLease::end`]
/// releases it with a given outcome.
pub(crate) struct SlotLease {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// The endpoint's address.
    pub(crate) addr: SocketAddr,
    slot: Option<Box<dyn Slot>>,
}

impl SlotLease {
    pub(crate) fn new(endpoint: EndpointId, addr: SocketAddr, slot: Box<dyn Slot>) -> Self {
        Self {
            endpoint,
            addr,
            slot: Some(slot),
        }
    }

    /// Records that the first token arrived `after` the request was sent.
    pub(crate) fn record_first_token(&self, after: Duration) {
        if let Some(slot) = &self.slot {
            slot.record_first_token(after);
        }
    }

    /// Records `tokens` more tokens, received in `span`.
    pub(crate) fn record_progress(&self, tokens: Tokens, span: Duration) {
        if let Some(slot) = &self.slot {
            slot.record_progress(tokens, span);
        }
    }

    /// Releases the slot.
    pub(crate) fn end(mut self, outcome: RequestOutcome) {
        if let Some(slot) = self.slot.take() {
            slot.release(outcome);
        }
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.release(RequestOutcome::Cancelled);
        }
    }
}

/// Resolves to a lease or a refusal. Dropping it cancels the request for a slot.
pub(crate) type AcquireFuture<'a> =
    Pin<Box<dyn Future<Output = Result<SlotLease, Refusal>> + Send + 'a>>;

/// Grants leases.
pub(crate) trait Dispatcher: Send + Sync {
    /// Waits until a slot is granted or the request is refused.
    fn acquire(&self, request: SlotRequest) -> AcquireFuture<'_>;
}
