//! Placement of requests by predicted time to the first token.
//!
//! Designed for these conditions: bursts of long prompts, which delay all other requests at the
//! same engine; sessions whose shared prompt parts are cached by one engine; endpoints that fail
//! some of their requests, hang or slow down; other VMs that place requests at the same time.

mod admission;
mod availability;
mod brittleness;
mod cache_estimate;
mod cached_parts;
mod cold;
mod correction;
mod cost;
mod endpoint_spec;
mod health;
mod kv_sources;
mod limits;
mod load;
mod load_reports;
mod org_shares;
mod outcomes;
mod placement_request;
mod placer;
mod profile;
mod rate_meter;
mod releases;
mod request_placement;
mod reserved;
mod run_times;
mod slot_room;
mod slot_spread;
mod tracked_endpoint;
mod urgency_amounts;

pub use {
    admission::{Admission, AdmissionRule},
    cold::ColdPolicy,
    endpoint_spec::EndpointSpec,
    load::{Load, PeerLoad, Reporter},
    org_shares::OrgRow,
    outcomes::Outcomes,
    placement_request::PlacementRequest,
    placer::Placer,
    profile::EngineProfile,
    request_placement::{Placement, PlacementOutcome},
    urgency_amounts::{PendingPrefill, SlotDemand, UrgencyAmounts},
};
