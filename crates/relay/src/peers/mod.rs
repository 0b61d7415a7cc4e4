//! Gossip between VMs: each sends its load at each endpoint to the others by UDP, a few times a
//! second.

mod gossip_message;
mod peer_table;

pub(crate) use {
    gossip_message::GossipMessage,
    peer_table::{MIN_SEND_INTERVAL, PEER_TIMEOUT, PeerTable},
};
