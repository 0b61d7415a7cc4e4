//! The VMs that are told and asked which release began a stream.

use {
    super::{PeerTable, hubs::HUBS_PER_ZONE, peer_table::ranked},
    clock::Instant,
    std::{collections::BTreeMap, net::SocketAddr},
    types::ZoneId,
};

impl PeerTable {
    /// All live VMs of a small fleet, or the other hubs of the zone.
    pub(crate) fn origin_targets(&self, now: Instant) -> Vec<SocketAddr> {
        if !self.uses_hubs(now) {
            return self.live_peers(now).map(|p| p.addr).collect();
        }
        let hubs = ranked(self.hubs_of(now, &self.zone)).take(HUBS_PER_ZONE);
        let hubs: Vec<_> = hubs.map(|(_, p)| p.addr).collect();
        if hubs.is_empty() {
            return self.told_hubs.clone();
        }
        hubs
    }

    /// The hubs of the zone after this one, which a first hub tells of the streams of its own.
    pub(crate) fn backup_hubs(&self, now: Instant) -> Vec<SocketAddr> {
        let mut by_zone: BTreeMap<&ZoneId, Vec<SocketAddr>> = BTreeMap::new();
        let hubs = self
            .live_peers(now)
            .filter(|p| p.hub && p.zone != self.zone);
        for peer in hubs {
            by_zone.entry(&peer.zone).or_default().push(peer.addr);
        }
        let next = by_zone.iter().find(|(zone, _)| **zone > &self.zone);
        let next = next.or_else(|| by_zone.first_key_value());
        next.map(|(_, addrs)| addrs.clone()).unwrap_or_default()
    }
}
