//! Placing by predicted time to the first token.
//!
//! Answers these loads: bursts of long prompts, which delay all requests that run beside them;
//! sessions whose shared parts are cached by one engine; endpoints that fail part of their
//! requests, go silent or slow down; and other VMs that place requests at the same time.

mod cost;
mod drift;
mod health;
mod load;
mod meter;
mod parts;
mod placer;
mod profile;
mod quiet;

pub use {
    load::{Load, PeerLoad},
    placer::{EndpointSpec, Placement, PlacementOutcome, PlacementRequest, Placer},
    profile::EngineProfile,
};
