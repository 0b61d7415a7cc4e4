//! Gossip between VMs by UDP, a few times a second.
//!
//! In a small fleet each VM sends its load at each endpoint to all others. In a large one that would
//! cost each VM as much as the fleet has VMs. There, the VMs of a zone send their loads to its hubs,
//! its strongest VMs. The first hub sends the sum to the hubs of the other zones, and the sum over
//! the fleet to the VMs of its zone.

mod assignment_support;
mod fleet_roster;
#[cfg(test)]
mod format_tests;
mod gossip_message;
mod hubs;
mod load_summary;
mod message_format;
mod origin_targets;
mod peer_table;
mod service_demand;
#[cfg(test)]
mod tests;

pub(crate) use {
    fleet_roster::FleetRoster,
    gossip_message::GossipMessage,
    hubs::MessageParts,
    load_summary::{LoadSummary, Scope, SummaryTrailer},
    message_format::MessageFormat,
    peer_table::{MIN_SEND_INTERVAL, PEER_TIMEOUT, PeerTable},
    service_demand::ServiceDemand,
};
