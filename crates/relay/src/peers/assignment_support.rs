//! Whether the VMs follow assignments of releases, as known from their datagrams.

use super::{
    MessageFormat,
    peer_table::{Peer, PeerTable},
};

impl PeerTable {
    /// Whether all VMs of this zone that were heard from, also a while ago, follow assignments of releases.
    pub(crate) fn zone_follows_assignments(&self) -> bool {
        let mut peers = self.peers.values().filter(|p| p.zone == self.zone);
        peers.all(|p| p.format >= MessageFormat::ASSIGNMENTS)
    }

    /// Whether all VMs follow assignments of releases, as far as this VM knows. In a large fleet the hubs tell it of their zones.
    pub(crate) fn all_follow_assignments(&self) -> bool {
        let follows = |p: &Peer| p.format >= MessageFormat::ASSIGNMENTS;
        let mut peers = self.peers.values();
        peers.all(|p| follows(p) && (p.assigned || !p.hub))
    }
}
