//! Placement of requests by predicted time to the first token.
//!
//! Designed for these conditions: bursts of long prompts, which delay all other requests at the
//! same engine; sessions whose shared prompt parts are cached by one engine; endpoints that fail
//! some of their requests, hang or slow down; other VMs that place requests at the same time.

mod availability;
mod cache_estimate;
mod cached_parts;
mod correction;
mod cost;
mod health;
mod load;
mod outcomes;
mod pending_prefill;
mod placer;
mod profile;
mod rate_meter;
mod reserved;
mod tracked_endpoint;

pub use {
    load::{Load, PeerLoad, Reporter},
    outcomes::Outcomes,
    pending_prefill::PendingPrefill,
    placer::{EndpointSpec, Placement, PlacementOutcome, PlacementRequest, Placer},
    profile::EngineProfile,
};
