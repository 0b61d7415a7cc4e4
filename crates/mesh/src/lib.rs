//! What the VMs of the system share: configuration, endpoint and VM lists, withdrawn keys; and how it
//! spreads between them.

mod node;
mod store;
mod sync;

pub use {
    node::{AUTH_HEADER, Authenticator, Node, PeerList},
    store::{Changed, ConfigRecord, Delta, Store, Summary},
    sync::{SYNC_PATH, SyncAnswer, SyncRequest},
};
