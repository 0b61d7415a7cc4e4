//! The hubs of a large fleet: who they are, and whom each VM sends to.

use {
    super::{
        gossip_message::{GossipMessage, MAX_ADDRS},
        peer_table::{FORGET_AFTER, PEER_TIMEOUT, Peer, PeerTable, READER_TIMEOUT, ranked},
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
pub(super) const HUBS_PER_ZONE: usize = 2;
/// Time from the first datagram received until a VM may be a hub: it hears of the stronger ones.
const HUB_DELAY: Duration = Duration::from_millis(600);

/// Time for which a fleet that shrinks keeps its hubs. Without it a VM that misses a few datagrams
/// in a fleet of about `MAX_MESH_VMS` would change between the two ways.
const HUB_HOLD_TIME: Duration = Duration::from_secs(10);

/// The addresses of other VMs in a gossip message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AddressPart {
    None,
    /// Some live VMs.
    Sample,
    /// The other hubs of the sender's zone.
    ZoneHubs,
    /// The hubs of all zones.
    AllHubs,
    /// What the receiver has asked for.
    Reply,
}

/// The optional parts of a gossip message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageParts {
    /// Whether it has the loads and rates of the sender.
    pub(crate) loads: bool,
    pub(crate) addresses: AddressPart,
    /// Whether it asks for the addresses of hubs.
    pub(crate) seeks: bool,
}

impl MessageParts {
    /// The reply to a VM that asks for addresses. A reply asks for none itself: otherwise two VMs
    /// that need addresses would reply to each other without end.
    pub(crate) const REPLY: Self = Self {
        loads: true,
        addresses: AddressPart::Reply,
        seeks: false,
    };
}

/// An address to send gossip to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    /// What is sent there.
    pub(crate) parts: MessageParts,
}

/// What a VM tells the others of the fleet's size and of its own part in the exchange of loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HubStatus {
    /// Number of live VMs that it knows of, itself included.
    pub(crate) vms: u32,
    /// Whether it is a hub.
    pub(crate) hub: bool,
}

impl PeerTable {
    /// What this VM tells the others of the fleet and of its part.
    pub(crate) fn hub_status(&self, now: Instant) -> HubStatus {
        HubStatus {
            vms: self.known_vms(now),
            hub: self.is_hub(now),
        }
    }

    /// Whether the fleet is, or was recently, too large for each VM to send to all others.
    pub(crate) fn uses_hubs(&self, now: Instant) -> bool {
        let recently = self
            .last_large
            .is_some_and(|at| now.since(at) < HUB_HOLD_TIME);
        recently || self.is_large(now)
    }

    fn is_large(&self, now: Instant) -> bool {
        self.fleet_size(now) > MAX_MESH_VMS
    }

    /// The largest number of live VMs that this one has observed or been told.
    pub(crate) fn fleet_size(&self, now: Instant) -> u32 {
        let heard: BTreeSet<_> = self.live_peers(now).map(|p| p.addr).collect();
        let recent = self
            .unconfirmed
            .iter()
            .filter(|(addr, at)| now.since(**at) < PEER_TIMEOUT && !heard.contains(addr));
        let known = 1 + (heard.len() + recent.count()) as u32;
        let told = self.live_peers(now).map(|p| p.vms).max();
        known.max(told.unwrap_or_default()).max(self.fleet_vms(now))
    }

    /// Gives up hubs together with a hub of this zone that has done so because the fleet shrank.
    pub(super) fn follow_shrinking(&mut self, message: &GossipMessage) {
        if !message.leaving && message.vms <= MAX_MESH_VMS {
            self.last_large = None;
        }
    }

    /// Whether the sender of a message takes the fleet for a small one and this VM knows better. It has to be
    /// told, as the VMs that use hubs no longer send to it.
    pub(super) fn knows_larger_fleet(&self, now: Instant, message: &GossipMessage) -> bool {
        !message.leaving && message.vms <= MAX_MESH_VMS && self.known_vms(now) > MAX_MESH_VMS
    }

    /// Notes whether the fleet is large now.
    pub(super) fn update_size(&mut self, now: Instant) {
        if self.is_large(now) {
            self.last_large = Some(now);
        }
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

    pub(super) fn hubs_of(
        &self,
        now: Instant,
        zone: &ZoneId,
    ) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.live(now).filter(move |(_, p)| {
            let heard = now.since(p.last_heard) < READER_TIMEOUT;
            heard && p.hub && !p.leaving && p.zone == *zone
        })
    }

    /// The addresses of a message; `reply` are those to reply with.
    pub(crate) fn addresses(
        &self,
        now: Instant,
        part: AddressPart,
        reply: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        match part {
            AddressPart::None => Vec::new(),
            AddressPart::Sample => self.sample_addresses(now),
            AddressPart::ZoneHubs => {
                let hubs = ranked(self.hubs_of(now, &self.zone)).take(HUBS_PER_ZONE);
                hubs.map(|(_, p)| p.addr).collect()
            }
            AddressPart::AllHubs => self.hub_addresses(now, &self.zone, true),
            AddressPart::Reply => reply.to_vec(),
        }
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
        let others: u32 = self.other_zones(now).into_values().sum();
        self.own_zone_vms(now) + others
    }

    /// The other zones and the number of their live VMs: the count that a zone's first hub reported, or the
    /// number of its VMs that sent datagrams here if that is larger, since a zone may not have a hub yet.
    pub(super) fn other_zones(&self, now: Instant) -> BTreeMap<&ZoneId, u32> {
        let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
        for peer in self.live_peers(now).filter(|p| !p.leaving) {
            *zones.entry(&peer.zone).or_default() += 1;
        }
        for (zone, (vms, at)) in &self.zone_vms {
            if now.since(*at) < PEER_TIMEOUT {
                let known = zones.entry(zone).or_default();
                *known = (*known).max(*vms);
            }
        }
        zones.remove(&self.zone);
        zones
    }

    /// The addresses to send to now, and what is sent there.
    pub(crate) fn targets(&mut self, now: Instant, seeds: &[SocketAddr]) -> Vec<Target> {
        self.unconfirmed
            .retain(|_, at| now.since(*at) < FORGET_AFTER);
        self.peers
            .retain(|_, p| now.since(p.last_heard) < FORGET_AFTER);
        self.update_size(now);
        if !self.uses_hubs(now) {
            return self.mesh_targets(now, seeds);
        }
        let targets = if self.is_hub(now) {
            self.targets_of_hub(seeds)
        } else {
            self.targets_of_member(now, seeds)
        };
        let upstream: BTreeSet<_> = self.stronger_addresses(now).into_iter().collect();
        let target = |(addr, parts)| Target {
            addr,
            parts: MessageParts {
                loads: upstream.contains(&addr),
                ..parts
            },
        };
        targets.into_iter().map(target).collect()
    }

    /// All VMs.
    fn mesh_targets(&self, now: Instant, seeds: &[SocketAddr]) -> Vec<Target> {
        let peers = self.peers.values().map(|p| p.addr);
        let unconfirmed = self.unconfirmed.keys().copied();
        let seeds = seeds.iter().copied();
        let addrs: BTreeSet<_> = peers.chain(unconfirmed).chain(seeds).collect();
        let parts = MessageParts {
            loads: true,
            addresses: AddressPart::Sample,
            seeks: self.live_peers(now).next().is_none(),
        };
        let target = |addr| Target { addr, parts };
        addrs.into_iter().map(target).collect()
    }

    /// The VMs of its zone, and the hubs of the others. A hub asks the seeds, so that hubs that do
    /// not know each other meet there.
    fn targets_of_hub(&self, seeds: &[SocketAddr]) -> BTreeMap<SocketAddr, MessageParts> {
        let parts = |addresses, seeks| MessageParts {
            loads: false,
            addresses,
            seeks,
        };
        let known = self.peers.values().filter(|p| p.zone == self.zone || p.hub);
        let known = known.map(|p| {
            if p.zone == self.zone {
                (p.addr, parts(AddressPart::ZoneHubs, false))
            } else {
                (p.addr, parts(AddressPart::AllHubs, false))
            }
        });
        let unconfirmed = self.unconfirmed.keys();
        let unconfirmed = unconfirmed.map(|a| (*a, parts(AddressPart::AllHubs, false)));
        let seeds = seeds.iter();
        let seeds = seeds.map(|a| (*a, parts(AddressPart::None, true)));
        known.chain(unconfirmed).chain(seeds).collect()
    }

    /// The hubs of its zone, also those that another one told of; while it knows too few, it asks
    /// them and all that may know others.
    fn targets_of_member(
        &self,
        now: Instant,
        seeds: &[SocketAddr],
    ) -> BTreeMap<SocketAddr, MessageParts> {
        let hubs = ranked(self.hubs_of(now, &self.zone)).take(HUBS_PER_ZONE);
        let hubs: BTreeSet<_> = hubs.map(|(_, p)| p.addr).collect();
        let seeks = hubs.len() < HUBS_PER_ZONE;
        let unconfirmed = self.unconfirmed.keys().copied();
        let others = unconfirmed.chain(seeds.iter().copied()).filter(|_| seeks);
        let parts = MessageParts {
            loads: false,
            addresses: if seeks {
                AddressPart::Sample
            } else {
                AddressPart::None
            },
            seeks,
        };
        let told = self.told_hubs.iter().copied();
        let all = hubs.iter().copied().chain(told).chain(others);
        all.map(|addr| (addr, parts)).collect()
    }

    /// Addresses of the hubs of this zone that were heard from lately.
    pub(crate) fn known_hubs(&self, now: Instant) -> Vec<SocketAddr> {
        self.hubs_of(now, &self.zone).map(|(_, p)| p.addr).collect()
    }

    /// Addresses of the hubs of other zones.
    pub(crate) fn other_hubs(&self, now: Instant) -> Vec<SocketAddr> {
        let hubs = self
            .live_peers(now)
            .filter(|p| p.hub && p.zone != self.zone);
        hubs.map(|p| p.addr).collect()
    }

    /// Addresses of the VMs whose state this one may use while it can't read the platform: the hubs of other zones, or in
    /// a small fleet all VMs with a recent successful read.
    pub(crate) fn state_sources(&self, now: Instant) -> Vec<SocketAddr> {
        if self.uses_hubs(now) {
            return self.other_hubs(now);
        }
        let reads = |p: &&Peer| {
            p.reads
                .is_some_and(|span| now.since(span.last) < READER_TIMEOUT)
        };
        self.live_peers(now).filter(reads).map(|p| p.addr).collect()
    }

    /// Addresses of the hubs of other zones, and of the other VMs of this zone.
    pub(crate) fn summary_targets(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let members = self.live_peers(now).filter(|p| p.zone == self.zone);
        (self.other_hubs(now), members.map(|p| p.addr).collect())
    }
}
