//! The interface of an admission policy.

use {
    super::{QueuedRequest, QueuedRequestId},
    clock::Instant,
    std::time::Duration,
    types::{ClassId, OrgId, Reason, Tier, Tokens},
};

/// What a policy needs to know of a class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRule {
    /// Class of work.
    pub id: ClassId,
    /// Service tier.
    pub tier: Tier,
    /// Requests that may wait at once.
    pub depth: usize,
    /// Longest time without a dispatch while a request of the class waits.
    pub starvation_limit: Duration,
    /// Time from arrival to the first token.
    pub first_token: Duration,
}

/// A request that is refused instead of being dispatched.
#[derive(Debug, Clone, PartialEq)]
pub struct ShedRequest {
    /// The request.
    pub request: QueuedRequest,
    /// Why.
    pub reason: Reason,
    /// When the caller may try again.
    pub retry_after: Duration,
}

/// How a dispatched request gave its slot back.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// Class of work.
    pub class: ClassId,
    /// Organisation that the request ran for.
    pub org: OrgId,
    /// How long it held its slot.
    pub slot_time: Duration,
    /// Tokens generated for it.
    pub tokens: Tokens,
    /// Whether it was answered whole, so that its time and length count for averages.
    pub complete: bool,
}

/// Holds waiting requests and decides on their order.
pub trait Queue: Send {
    /// Replaces the rules of all classes.
    fn set_classes(&mut self, rules: &[ClassRule]);

    /// Tells how many requests the endpoints can hold at once in all.
    fn set_capacity(&mut self, slots: u32);

    /// Adds a request; returns those that are refused for it, possibly itself.
    fn offer(&mut self, now: Instant, ticket: QueuedRequest) -> Vec<ShedRequest>;

    /// Takes the request to dispatch next among those that `fits` accepts.
    fn dequeue(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest>;

    /// Takes a request whose caller is gone.
    fn cancel(&mut self, id: QueuedRequestId) -> Option<QueuedRequest>;

    /// Takes the requests that can no longer meet their deadline.
    fn expire(&mut self, now: Instant) -> Vec<ShedRequest>;

    /// Charges an organisation for generated tokens.
    fn charge(&mut self, class: &ClassId, org: &OrgId, weight: u32, tokens: Tokens);

    /// Tells that the first token of a request of `class` came `after` its dispatch.
    fn first_token(&mut self, class: &ClassId, after: Duration);

    /// Tells that a request which another scheduler dispatched is completed here.
    fn adopted(&mut self, class: &ClassId, org: &OrgId);

    /// Tells that a dispatched request gave its slot back.
    fn completed(&mut self, now: Instant, done: &Completion);

    /// Expected wait of a request of `class` that arrived now.
    fn predicted_wait(&self, now: Instant, class: &ClassId) -> Duration;

    /// Requests that wait.
    fn len(&self) -> usize;

    /// Whether none waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
