//! State that the VMs replicate among themselves (configuration, endpoint lists, VM list, withdrawn
//! keys), and the messages and calls that replicate it.

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
    demand::{DEMAND_PATH, DemandLine, DemandReport},
    headroom_table::HeadroomTable,
    link::{
        AdoptMsg, AskMsg, EncodedMsg, Headroom, LINK_PATH, LinkBatch, LinkMsg, LinkResponse,
        ProgressMsg, TicketNo,
    },
    members::{CallFailure, IncarnationStatus, Members},
    meter::{Direction, count_message},
    node::{AUTH_HEADER, Authenticator, Node, PeerAddrs},
    rank::rank_vms,
    store::{ConfigRecord, Delta, Store, StoreChanges, Summary},
    sync::{REVOKE_PATH, RevokeRequest, SYNC_PATH, SyncRequest, SyncResponse},
};
