//! The hubs of a large fleet: who they are, and whom each VM sends to.

use {
    super::{
        gossip_message::MAX_ADDRS,
        peer_table::{FORGET_AFTER, PEER_TIMEOUT, Peer, PeerTable, ranked},
    },
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{VmId, ZoneId},
};

/// Largest fleet in which each VM sends to all others. At this size each of them receives 100
/// datagrams a second.
const MAX_MESH_VMS: u32 = 40;
/// Number of hubs in each zone of a larger fleet. The second one takes over if the first one fails.
const HUBS_PER_ZONE: usize = 2;
/// Time from the first datagram received until a VM may be a hub: it hears of the stronger ones.
const HUB_DELAY: Duration = Duration::from_millis(600);

/// An address to send gossip to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    /// Whether the loads of this VM are sent there.
    pub(crate) with_loads: bool,
}

/// What a VM tells the others of the fleet's size and of its own part in the exchange of loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HubStatus {
    /// Number of live VMs that it knows of, itself included.
    pub(crate) vms: u32,
    /// Whether it is a hub.
    pub(crate) hub: bool,
    /// Whether it asks for the addresses of hubs.
    pub(crate) seeks: bool,
}

impl PeerTable {
    /// What a message of a regular round tells.
    pub(crate) fn hub_status(&self, now: Instant) -> HubStatus {
        HubStatus {
            vms: self.known_vms(now),
            hub: self.is_hub(now),
            seeks: self.seeks_hubs(now),
        }
    }

    /// What the reply to a VM that asks for addresses tells.
    pub(crate) fn reply_status(&self, now: Instant) -> HubStatus {
        self.hub_status(now)
    }

    /// Whether the fleet is too large for each VM to send to all others.
    pub(crate) fn uses_hubs(&self, now: Instant) -> bool {
        let heard = (1 + self.live_peers(now).count() + self.unconfirmed.len()) as u32;
        let told = self.live_peers(now).map(|p| p.vms).max();
        heard.max(told.unwrap_or_default()).max(self.fleet_vms(now)) > MAX_MESH_VMS
    }

    /// Whether this VM is a hub of its zone.
    pub(crate) fn is_hub(&self, now: Instant) -> bool {
        let stronger = self.live(now).filter(|(vm, p)| {
            p.zone == self.zone
                && self.yields_to(vm, p)
                && (p.hub || p.millicores > self.millicores)
        });
        let is_settled = self
            .first_contact
            .is_some_and(|at| now.since(at) >= HUB_DELAY);
        is_settled && self.uses_hubs(now) && stronger.count() < HUBS_PER_ZONE
    }

    /// Whether this VM is the first hub of its zone, which sends summaries.
    pub(crate) fn is_first_hub(&self, now: Instant) -> bool {
        self.uses_hubs(now) && self.readers(now).is_empty()
    }

    /// Whether this VM needs addresses of hubs.
    fn seeks_hubs(&self, now: Instant) -> bool {
        if !self.uses_hubs(now) {
            return self.live_peers(now).next().is_none();
        }
        self.is_hub(now) || self.hubs_of(now, &self.zone).count() < HUBS_PER_ZONE
    }

    fn hubs_of(&self, now: Instant, zone: &ZoneId) -> impl Iterator<Item = (&VmId, &Peer)> {
        let live = self.live(now);
        live.filter(move |(_, p)| p.hub && !p.leaving && p.zone == *zone)
    }

    /// Addresses for a VM of `zone` that seeks hubs: those of its zone, or of all zones for a hub.
    pub(super) fn hub_addresses(
        &self,
        now: Instant,
        zone: &ZoneId,
        is_hub: bool,
    ) -> Vec<SocketAddr> {
        let eligible = |p: &Peer| !p.leaving && (p.zone == *zone || is_hub && p.hub);
        let mut by_zone: BTreeMap<&ZoneId, Vec<(&VmId, &Peer)>> = BTreeMap::new();
        for (vm, peer) in self.live(now).filter(|(_, p)| eligible(p)) {
            by_zone.entry(&peer.zone).or_default().push((vm, peer));
        }
        let strongest = by_zone
            .into_values()
            .flat_map(|peers| ranked(peers.into_iter()).take(HUBS_PER_ZONE));
        strongest.map(|(_, p)| p.addr).take(MAX_ADDRS).collect()
    }

    /// Records the number of live VMs of the fleet as told by the first hub.
    pub(crate) fn set_fleet_vms(&mut self, now: Instant, vms: u32) -> bool {
        let changed = self.fleet_vms(now) != vms;
        self.fleet = Some((vms, now));
        changed
    }

    pub(super) fn fleet_vms(&self, now: Instant) -> u32 {
        let told = self.fleet.filter(|(_, at)| now.since(*at) < PEER_TIMEOUT);
        told.map_or(0, |(vms, _)| vms)
    }

    /// Records the number of live VMs of another zone as told by its first hub.
    pub(crate) fn set_zone_vms(&mut self, now: Instant, zone: &ZoneId, vms: u32) {
        self.zone_vms.insert(zone.clone(), (vms, now));
    }

    /// Number of live VMs of this zone, this one included, as known by a hub.
    pub(crate) fn own_zone_vms(&self, now: Instant) -> u32 {
        let in_zone = self
            .live_peers(now)
            .filter(|p| p.zone == self.zone && !p.leaving);
        1 + in_zone.count() as u32
    }

    /// Number of live VMs of the fleet, as known by a first hub.
    pub(crate) fn summed_vms(&self, now: Instant) -> u32 {
        let current = self
            .zone_vms
            .iter()
            .filter(|(zone, (_, at))| **zone != self.zone && now.since(*at) < PEER_TIMEOUT);
        let others: u32 = current.map(|(_, (vms, _))| vms).sum();
        self.own_zone_vms(now) + others
    }

    /// The addresses to send to now. `seeds` are sent to while no hub is known, and by hubs, so that
    /// they can tell new VMs of them.
    pub(crate) fn targets(&mut self, now: Instant, seeds: &[SocketAddr]) -> Vec<Target> {
        self.unconfirmed
            .retain(|_, at| now.since(*at) < FORGET_AFTER);
        self.peers
            .retain(|_, p| now.since(p.last_heard) < FORGET_AFTER);
        let addrs: BTreeSet<SocketAddr> = if !self.uses_hubs(now) {
            let peers = self.peers.values().map(|p| p.addr);
            let unconfirmed = self.unconfirmed.keys().copied();
            peers
                .chain(unconfirmed)
                .chain(seeds.iter().copied())
                .collect()
        } else if self.is_hub(now) {
            let known = self.peers.values().filter(|p| p.zone == self.zone || p.hub);
            let unconfirmed = self.unconfirmed.keys().copied();
            let known = known.map(|p| p.addr);
            known
                .chain(unconfirmed)
                .chain(seeds.iter().copied())
                .collect()
        } else {
            let hubs = ranked(self.hubs_of(now, &self.zone)).take(HUBS_PER_ZONE);
            let hubs: BTreeSet<_> = hubs.map(|(_, p)| p.addr).collect();
            if hubs.len() == HUBS_PER_ZONE {
                hubs
            } else {
                let unconfirmed = self.unconfirmed.keys().copied();
                hubs.into_iter()
                    .chain(unconfirmed)
                    .chain(seeds.iter().copied())
                    .collect()
            }
        };
        let uses_hubs = self.uses_hubs(now);
        let upstream: BTreeSet<_> = self.stronger_addresses(now).into_iter().collect();
        let target = |addr| Target {
            addr,
            with_loads: !uses_hubs || upstream.contains(&addr),
        };
        addrs.into_iter().map(target).collect()
    }

    /// Addresses of the hubs of other zones.
    pub(crate) fn other_hubs(&self, now: Instant) -> Vec<SocketAddr> {
        let hubs = self
            .live_peers(now)
            .filter(|p| p.hub && p.zone != self.zone);
        hubs.map(|p| p.addr).collect()
    }

    /// Addresses of the hubs of other zones, and of the other VMs of this zone.
    pub(crate) fn summary_targets(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let members = self.live_peers(now).filter(|p| p.zone == self.zone);
        (self.other_hubs(now), members.map(|p| p.addr).collect())
    }
}
