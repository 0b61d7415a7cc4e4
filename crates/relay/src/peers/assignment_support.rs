//! Support for assignments across the fleet, derived from gossip formats.

use super::{
    MessageFormat,
    peer_table::{Peer, PeerTable},
};

impl PeerTable {
    /// Whether all peers of this zone support assignments, including those that have timed out recently.
    pub(crate) fn zone_follows_assignments(&self) -> bool {
        let mut peers = self.peers.values().filter(|p| p.zone == self.zone);
        peers.all(|p| p.format >= MessageFormat::ASSIGNMENTS)
    }

    /// Whether all VMs of the fleet support assignments. In a large fleet the hubs report it for their zones.
    pub(crate) fn all_follow_assignments(&self) -> bool {
        let follows = |p: &Peer| p.format >= MessageFormat::ASSIGNMENTS;
        let mut peers = self.peers.values();
        peers.all(|p| follows(p) && (p.assigned || !p.hub))
    }
}
