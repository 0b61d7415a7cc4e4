//! Interface of the endpoint pickers.

use {
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    types::{EndpointId, Tier, Tokens},
};

/// An endpoint that a picker may choose.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Identifier.
    pub id: EndpointId,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Whether the platform may reclaim it at short notice.
    pub cheap: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Requirements of a request on its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    /// Service tier.
    pub tier: Tier,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Hash of the prompt's prefix, for affinity to the endpoint that has it cached; 0 if there is
    /// none.
    #[serde(rename = "prefix")]
    pub prefix_hash: u64,
    /// Target for the mean inter-token time.
    #[serde(rename = "between")]
    pub inter_token: Duration,
    /// Endpoints where this request already failed.
    pub avoid: Vec<EndpointId>,
}

/// Load as reported by an engine. Reports arrive with a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Requests waiting in the engine's own queue.
    pub waiting: u32,
}

/// Outcome of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The response was complete.
    #[serde(rename = "whole")]
    Completed,
    /// The endpoint failed or was too slow.
    Failed,
    /// The caller or the router gave up; not evidence about the endpoint.
    Cancelled,
}

/// Tracks endpoints and picks one for each request.
pub trait Picker: Send {
    /// Replaces the list of endpoints that take new requests. Requests running at endpoints that
    /// are no longer listed go on.
    fn set_candidates(&mut self, now: Instant, candidates: &[Candidate]);

    /// Whether an endpoint can take the request now.
    fn can_pick(&self, now: Instant, requirements: &Requirements) -> bool;

    /// Picks an endpoint and takes one of its slots.
    fn pick(&mut self, now: Instant, requirements: &Requirements) -> Option<Candidate>;

    /// Takes a slot of the given endpoint for a request that already runs there, even beyond the
    /// endpoint's limit.
    fn occupy(&mut self, now: Instant, id: &EndpointId, tier: Tier) -> Option<Candidate>;

    /// Records that the first token arrived `after` the request was sent.
    fn record_first_token(&mut self, now: Instant, id: &EndpointId, after: Duration);

    /// Records `tokens` further tokens received in `span`.
    fn record_progress(&mut self, now: Instant, id: &EndpointId, tokens: Tokens, span: Duration);

    /// Releases the slot of a request of `tier`.
    fn release(&mut self, now: Instant, id: &EndpointId, tier: Tier, outcome: RequestOutcome);

    /// Takes in an engine's load report.
    fn report_load(&mut self, now: Instant, id: &EndpointId, report: LoadReport);

    /// Slots that are free now.
    fn free_slots(&self, now: Instant) -> u32;

    /// Total slots of the endpoints that take requests.
    fn slots(&self) -> u32;
}
