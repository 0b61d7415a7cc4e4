//! What the VMs of the system share: configuration, endpoint and VM lists, withdrawn keys; and how it
//! spreads between them.

mod demand;
mod node;
mod store;
mod sync;

pub use {
    demand::{DEMAND_PATH, DemandAnswer, DemandLine},
    node::{AUTH_HEADER, Authenticator, Node, PeerList},
    store::{Changed, ConfigRecord, Delta, Store, Summary},
    sync::{SYNC_PATH, SyncAnswer, SyncRequest},
};
