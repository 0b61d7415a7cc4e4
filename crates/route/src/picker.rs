//! The interface of an endpoint policy.

use {
    clock::Stamp,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    types::{EndpointId, Tier, Tokens},
};

/// An endpoint that takes work.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Identifier.
    pub id: EndpointId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it may be evicted at short notice.
    pub cheap: bool,
    /// Most requests held at once.
    pub slots: u32,
}

/// What a request needs of its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    /// Service tier.
    pub tier: Tier,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Hash of the prompt's start, to find an endpoint that has it cached.
    #[serde(rename = "prefix")]
    pub prefix_hash: u64,
    /// Target for the mean time between tokens.
    #[serde(rename = "between")]
    pub inter_token: Duration,
    /// Endpoints that failed this request already.
    pub avoid: Vec<EndpointId>,
}

/// An engine's own account of its load. It lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
}

/// How a request at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Whole answer.
    #[serde(rename = "whole")]
    Completed,
    /// The endpoint failed or was too slow.
    Failed,
    /// The caller or the router gave up; says nothing of the endpoint.
    Cancelled,
}

/// Holds endpoints and decides which takes a request.
pub trait Picker: Send {
    /// Replaces the list of endpoints that take work. Endpoints left out keep their running requests.
    fn set_candidates(&mut self, now: Stamp, targets: &[Candidate]);

    /// Whether some endpoint can take the request now.
    fn can_pick(&self, now: Stamp, need: &Requirements) -> bool;

    /// Chooses an endpoint and takes one of its slots.
    fn pick(&mut self, now: Stamp, need: &Requirements) -> Option<Candidate>;

    /// Takes a slot of a given endpoint for a request that already runs there, even beyond its limit.
    fn occupy(&mut self, now: Stamp, id: &EndpointId, tier: Tier) -> Option<Candidate>;

    /// Tells that the first token came `after` the request was sent.
    fn first_token(&mut self, now: Stamp, id: &EndpointId, after: Duration);

    /// Tells that `tokens` more came in `span`.
    fn progress(&mut self, now: Stamp, id: &EndpointId, tokens: Tokens, span: Duration);

    /// Gives the slot of a request of `tier` back.
    fn release(&mut self, now: Stamp, id: &EndpointId, tier: Tier, ending: RequestOutcome);

    /// Takes in an engine's report of its load.
    fn report_load(&mut self, now: Stamp, id: &EndpointId, report: LoadReport);

    /// Slots that requests could take now.
    fn free_slots(&self, now: Stamp) -> u32;

    /// Slots in all.
    fn slots(&self) -> u32;
}
