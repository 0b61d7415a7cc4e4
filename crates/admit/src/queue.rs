//! Interface of the queue policies.

use {
    super::{QueuedRequest, QueuedRequestId},
    clock::Instant,
    std::time::Duration,
    types::{ClassId, OrgId, Reason, Tier, Tokens},
};

/// Queueing parameters of a class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRule {
    /// Identifier of the class.
    pub id: ClassId,
    /// Service tier.
    pub tier: Tier,
    /// Maximum number of waiting requests.
    pub depth: usize,
    /// Maximum time between dispatches while a request of the class waits.
    pub starvation_limit: Duration,
    /// Target for the time from arrival to the first token.
    pub first_token: Duration,
}

/// A request that is refused instead of dispatched.
#[derive(Debug, Clone, PartialEq)]
pub struct ShedRequest {
    /// The request.
    pub request: QueuedRequest,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// A dispatched request that has released its slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// Class of the request.
    pub class: ClassId,
    /// Organisation that the request ran for.
    pub org: OrgId,
    /// Time for which it held its slot.
    pub slot_time: Duration,
    /// Generated tokens.
    pub tokens: Tokens,
    /// Whether the response was complete; only then do its time and length enter the averages.
    pub complete: bool,
}

/// Holds waiting requests and decides on the order of dispatch.
pub trait Queue: Send {
    /// Replaces the rules of all classes.
    fn set_classes(&mut self, rules: &[ClassRule]);

    /// Sets the total number of slots of the endpoints.
    fn set_capacity(&mut self, slots: u32);

    /// Adds a request. Returns the requests that are refused as a result, possibly this one.
    fn offer(&mut self, now: Instant, request: QueuedRequest) -> Vec<ShedRequest>;

    /// Removes and returns the request to dispatch next among those that `fits` accepts.
    fn dequeue(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest>;

    /// Removes a request whose caller has closed the connection.
    fn cancel(&mut self, id: QueuedRequestId) -> Option<QueuedRequest>;

    /// Removes and returns the requests that can no longer meet their deadline.
    fn expire(&mut self, now: Instant) -> Vec<ShedRequest>;

    /// Charges generated tokens to an organisation's fair share.
    fn charge(&mut self, class: &ClassId, org: &OrgId, weight: u32, tokens: Tokens);

    /// Records that the first token of a request of `class` arrived `after` its dispatch.
    fn record_first_token(&mut self, class: &ClassId, after: Duration);

    /// Records a running request that another scheduler dispatched and that this one now tracks.
    fn adopted(&mut self, class: &ClassId, org: &OrgId);

    /// Records that a dispatched request released its slot.
    fn completed(&mut self, now: Instant, completion: &Completion);

    /// Expected wait of a request of `class` that arrives now.
    fn predicted_wait(&self, now: Instant, class: &ClassId) -> Duration;

    /// Number of waiting requests.
    fn len(&self) -> usize;

    /// Whether no request waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
