//! What VMs tell each other: their load at each endpoint, a few times a second, by datagrams.

mod gossip_message;
mod peer_table;

pub(crate) use {
    gossip_message::GossipMessage,
    peer_table::{MIN_SEND_INTERVAL, PEER_TIMEOUT, PeerTable},
};
