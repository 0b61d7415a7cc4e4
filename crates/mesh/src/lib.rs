//! What the VMs of the system share: configuration, endpoint and VM lists, withdrawn keys; and how it
//! spreads between them.

mod demand;
mod headroom_table;
mod link;
mod members;
mod meter;
mod node;
mod rank;
mod store;
mod sync;

pub use {
    demand::{DEMAND_PATH, DemandAnswer, DemandLine},
    headroom_table::HeadroomTable,
    link::{
        AdoptMsg, AskMsg, Headroom, LINK_PATH, LinkAnswer, LinkBatch, LinkMsg, Packed, ProgressMsg,
        TicketNo,
    },
    members::{CallFailure, IncarnationStatus, Members},
    meter::{Direction, count_message},
    node::{AUTH_HEADER, Authenticator, Node, PeerList},
    rank::rank_homes,
    store::{Changed, ConfigRecord, Delta, Store, Summary},
    sync::{REVOKE_PATH, RevokeRequest, SYNC_PATH, SyncAnswer, SyncRequest},
};
