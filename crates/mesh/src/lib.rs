//! State that the VMs replicate among themselves (configuration, endpoint lists, VM list, withdrawn
//! keys), and the messages and calls that replicate it.

mod demand;
mod headroom_table;
mod link;
mod members;
mod mesh_node;
mod meter;
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
    mesh_node::{AUTH_HEADER, Authenticator, MeshNode, PeerAddrs},
    meter::{Direction, count_message},
    rank::rank_vms,
    store::{ConfigRecord, Delta, Store, StoreChanges, Summary},
    sync::{REVOKE_PATH, RevokeRequest, SYNC_PATH, SyncRequest, SyncResponse},
};
