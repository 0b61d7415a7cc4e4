//! The VMs that gossip is received from, and the interval at which this one sends its own.

use {
    super::{
        FleetRoster, GossipMessage, MessageFormat, gossip_message::MAX_ADDRS, hubs::HUBS_PER_ZONE,
    },
    crate::endpoints::ReadSpan,
    clock::Instant,
    detour::Carrier,
    route::FleetRank,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{EndpointId, Incarnation, VmId, ZoneId},
};

/// Time without a datagram after which a VM is regarded as dead and its load is dropped.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest interval between two datagrams to one VM.
pub(crate) const MIN_SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two datagrams for each live VM: limits the datagrams that a VM receives to 100
/// a second.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(10);
/// Time without a datagram after which this VM stops sending to an address.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Number of addresses that a gossip message carries unless it answers a VM that seeks hubs.
const MESH_SAMPLE: usize = 8;
/// Intervals between two rounds of datagrams in a larger fleet, of hubs and of other VMs.
const HUB_INTERVAL: Duration = Duration::from_millis(400);
const MEMBER_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) addr: SocketAddr,
    inc: Incarnation,
    seq: u64,
    pub(super) zone: ZoneId,
    pub(super) millicores: u32,
    first_heard: Instant,
    pub(super) last_heard: Instant,
    pub(super) leaving: bool,
    /// How far its clock is ahead of that of this VM, in milliseconds.
    offset_ms: i64,
    /// Endpoints in its last datagram.
    loaded_endpoints: BTreeSet<EndpointId>,
    /// When it could read the endpoint list.
    pub(super) reads: Option<ReadSpan>,
    /// Number of live VMs that it knows of.
    pub(super) vms: u32,
    /// Whether it is a hub.
    pub(super) hub: bool,
    /// Whether it takes requests of others to their endpoints.
    carries: bool,
    /// Whether all peers of its zone support assignments of releases.
    pub(super) assigned: bool,
    /// Whether all peers of its zone log the origins of streams.
    pub(super) logs: bool,
    /// Format of the datagrams that it reads.
    pub(super) format: MessageFormat,
}

/// Effect of a received datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Received {
    /// Whether the sender was unknown or had timed out.
    pub(crate) is_new: bool,
    /// Endpoints at which the sender no longer has any load.
    pub(crate) cleared: Vec<EndpointId>,
    /// Addresses to reply with, if the sender asks for those of hubs or doesn't know that there are any.
    pub(crate) reply: Option<Vec<SocketAddr>>,
}

/// Time that a VM must have been known before the others rely on it as reader: it has to read the
/// platform's state itself first.
const MIN_READER_AGE: Duration = Duration::from_secs(1);
/// Time without a datagram after which a VM is no longer relied on as reader.
pub(super) const READER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Rounds of datagrams without one after which a VM is no longer asked to carry requests.
const MAX_MISSED_ROUNDS: u32 = 4;

/// The other VMs, as known from their datagrams.
#[derive(Debug)]
pub(crate) struct PeerTable {
    vm: VmId,
    pub(super) zone: ZoneId,
    pub(super) millicores: u32,
    pub(super) peers: BTreeMap<VmId, Peer>,
    /// Addresses that no datagram has come from yet, and when they were learnt.
    pub(super) unconfirmed: BTreeMap<SocketAddr, Instant>,
    /// When the first datagram arrived.
    pub(super) first_contact: Option<Instant>,
    /// Number of live VMs of the fleet as told by the first hub, and when.
    pub(super) fleet: Option<(u32, Instant)>,
    /// Addresses of hubs of this zone, as told by one of them.
    pub(super) told_hubs: Vec<SocketAddr>,
    /// When the fleet was last too large for each VM to send to all others.
    pub(super) last_large: Option<Instant>,
    /// Number of live VMs of other zones as told by their first hubs, and when.
    pub(super) zone_vms: BTreeMap<ZoneId, (u32, Instant)>,
    /// Position of this VM in the fleet as told by a hub, and when.
    told_rank: Option<(FleetRank, Instant)>,
}

impl PeerTable {
    /// Creates the table of VM `vm`.
    pub(crate) fn new(vm: VmId, zone: ZoneId, millicores: u32) -> Self {
        Self {
            vm,
            zone,
            millicores,
            peers: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            first_contact: None,
            fleet: None,
            told_hubs: Vec::new(),
            last_large: None,
            zone_vms: BTreeMap::new(),
            told_rank: None,
        }
    }

    /// The VMs that precede this one as reader of the platform for their zone: the live VMs of the
    /// zone that are not leaving and have a larger CPU share, largest first. Ties are decided by
    /// name.
    pub(crate) fn readers(&self, now: Instant) -> Vec<SocketAddr> {
        let timeout = if self.uses_hubs(now) {
            READER_TIMEOUT
        } else {
            READER_TIMEOUT.max(self.mesh_interval(now) * 3)
        };
        let live = self.peers.iter().filter(|(_, p)| {
            let established = now.since(p.first_heard) >= MIN_READER_AGE;
            established && now.since(p.last_heard) < timeout
        });
        let uses_hubs = self.uses_hubs(now);
        let eligible = live.filter(|(vm, p)| {
            p.zone == self.zone && self.yields_to(vm, p) && (p.hub || !uses_hubs)
        });
        ranked(eligible).map(|(_, p)| p.addr).collect()
    }

    /// The formats of the datagrams to the VMs that were heard from.
    pub(crate) fn formats(&self) -> BTreeMap<SocketAddr, MessageFormat> {
        self.peers.values().map(|p| (p.addr, p.format)).collect()
    }

    /// Whether a live VM of this zone is known that precedes this one as reader, however short it
    /// has been known.
    pub(crate) fn knows_stronger(&self, now: Instant) -> bool {
        self.live(now)
            .any(|(vm, p)| p.zone == self.zone && self.yields_to(vm, p))
    }

    /// Addresses of the live VMs of this zone that precede this one as reader, strongest first.
    pub(crate) fn stronger_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let stronger = self
            .live(now)
            .filter(|(vm, p)| p.zone == self.zone && self.yields_to(vm, p));
        ranked(stronger).map(|(_, p)| p.addr).collect()
    }

    pub(super) fn yields_to(&self, vm: &VmId, peer: &Peer) -> bool {
        !peer.leaving && (peer.millicores, vm) > (self.millicores, &self.vm)
    }

    /// Applies a datagram; `None` if it is older than the last one of its sender.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        (message, format): (&GossipMessage, MessageFormat),
        own_addr: SocketAddr,
        own_ms: i64,
    ) -> Option<Received> {
        self.first_contact.get_or_insert(now);
        let previous = self.peers.get(&message.vm);
        if previous.is_some_and(|p| (p.inc, p.seq) >= (message.inc, message.seq)) {
            return None;
        }
        let is_new = previous.is_none_or(|p| now.since(p.last_heard) >= PEER_TIMEOUT);
        let loaded_endpoints: BTreeSet<_> =
            message.loads.iter().map(|(id, _)| id.clone()).collect();
        let was_hub = previous.is_some_and(|p| p.hub);
        let previously_loaded = previous
            .map(|p| p.loaded_endpoints.clone())
            .unwrap_or_default();
        let peer = Peer {
            addr: from,
            inc: message.inc,
            seq: message.seq,
            zone: message.zone.clone(),
            millicores: message.millicores,
            first_heard: previous
                .filter(|p| !is_new && p.inc == message.inc)
                .map_or(now, |p| p.first_heard),
            last_heard: now,
            leaving: message.leaving,
            offset_ms: i64::try_from(message.unix_ms).unwrap_or(i64::MAX) - own_ms,
            loaded_endpoints,
            reads: message.reads.map(|ages| ages.span_at(now)),
            vms: message.vms,
            hub: message.hub,
            carries: message.carries,
            assigned: message.assigned,
            logs: message.logs,
            format,
        };
        let cleared = previously_loaded
            .difference(&peer.loaded_endpoints)
            .cloned()
            .collect();
        self.peers.insert(message.vm.clone(), peer);
        self.unconfirmed.remove(&from);
        // A VM of another zone that was last heard of before it became a hub isn't sent to; its
        // address has to be learnt again.
        let uses_hubs = self.uses_hubs(now);
        let sent_to = |p: &&Peer| !uses_hubs || p.hub || p.zone == self.zone;
        let known = self.live_peers(now).filter(sent_to);
        let known: BTreeSet<_> = known.map(|p| p.addr).collect();
        for addr in message.addrs.iter().take(MAX_ADDRS) {
            if *addr != own_addr && !known.contains(addr) {
                self.unconfirmed.entry(*addr).or_insert(now);
            }
        }
        if message.hub && message.zone == self.zone && !message.addrs.is_empty() {
            let others = message.addrs.iter().filter(|a| **a != own_addr);
            self.told_hubs = others.take(HUBS_PER_ZONE).copied().collect();
        }
        if was_hub && !message.hub && message.zone == self.zone {
            self.follow_shrinking(message);
        }
        self.update_size(now);
        let replies = message.seeks || self.knows_larger_fleet(now, message);
        let reply = replies.then(|| self.hub_addresses(now, &message.zone, message.hub));
        Some(Received {
            is_new,
            cleared,
            reply,
        })
    }

    /// The VMs heard from lately that take requests of others to their endpoints; they listen for them on
    /// `port`.
    pub(crate) fn carriers(&self, now: Instant, port: u16) -> Vec<Carrier> {
        let carriers = self
            .live(now)
            .filter(|(vm, p)| p.carries && self.hears(now, vm));
        carriers
            .map(|(vm, p)| Carrier {
                vm: vm.clone(),
                addr: SocketAddr::new(p.addr.ip(), port),
                zone: p.zone.clone(),
                millicores: p.millicores,
            })
            .collect()
    }

    /// Whether a VM was heard from in the last few rounds of datagrams.
    pub(crate) fn hears(&self, now: Instant, vm: &VmId) -> bool {
        let timeout = self.mesh_interval(now) * MAX_MISSED_ROUNDS;
        let peer = self.peers.get(vm);
        peer.is_some_and(|p| now.since(p.last_heard) < timeout)
    }

    /// A random sample of the addresses of live VMs.
    pub(crate) fn sample_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let live = self.live_peers(now).map(|p| p.addr);
        let mut addrs: Vec<_> = live.collect();
        fastrand::shuffle(&mut addrs);
        addrs.truncate(MESH_SAMPLE);
        addrs
    }

    /// Number of live VMs that are not leaving, this one included.
    pub(crate) fn vm_count(&self, now: Instant) -> u32 {
        let known = self.known_vms(now);
        if !self.uses_hubs(now) || self.fleet_vms(now) > 0 {
            return known;
        }
        let told = self.live_peers(now).map(|p| p.vms).max();
        known.max(told.unwrap_or_default())
    }

    /// Number of live VMs as told by the first hub, or else as heard from.
    pub(crate) fn known_vms(&self, now: Instant) -> u32 {
        match self.fleet_vms(now) {
            0 => 1 + self.live_peers(now).filter(|p| !p.leaving).count() as u32,
            told => told,
        }
    }

    /// Position of this VM among the live VMs of the fleet, in the order of their names, or of
    /// their zones in a large fleet. `None` if it is unknown.
    pub(crate) fn fleet_rank(&self, now: Instant) -> Option<FleetRank> {
        if self.is_first_hub(now) {
            return self.roster(now).rank_of(&self.vm);
        }
        if self.uses_hubs(now) {
            let told = self.told_rank;
            return told
                .filter(|(_, at)| now.since(*at) < PEER_TIMEOUT)
                .map(|(rank, _)| rank);
        }
        let staying = || self.live(now).filter(|(_, p)| !p.leaving);
        let before = staying().filter(|(vm, _)| **vm < self.vm);
        Some(FleetRank {
            rank: before.count() as u32,
            vms: 1 + staying().count() as u32,
        })
    }

    /// The VMs of this zone and their place in the fleet, as known by a first hub.
    pub(crate) fn roster(&self, now: Instant) -> FleetRoster {
        let in_zone = self
            .live(now)
            .filter(|(_, p)| p.zone == self.zone && !p.leaving);
        let mut members: BTreeSet<_> = in_zone.map(|(vm, _)| vm).collect();
        members.insert(&self.vm);
        let preceding = self
            .other_zones(now)
            .into_iter()
            .filter(|(zone, _)| **zone < self.zone);
        let before = preceding.map(|(_, vms)| vms).sum();
        let counts = (before, self.summed_vms(now));
        FleetRoster::new(self.zone.clone(), counts, members.into_iter())
    }

    /// Records the roster that a hub sent.
    pub(crate) fn set_roster(&mut self, now: Instant, roster: &FleetRoster) {
        if roster.zone == self.zone {
            self.told_rank = roster.rank_of(&self.vm).map(|rank| (rank, now));
        }
    }

    /// How far the clocks of the live VMs are ahead of that of this VM, in milliseconds.
    pub(crate) fn clock_offsets(&self, now: Instant) -> Vec<i64> {
        self.live_peers(now).map(|p| p.offset_ms).collect()
    }

    /// Whether another VM was able to read the endpoint list from `since` to `now`.
    pub(crate) fn platform_read_since(&self, since: Instant, now: Instant) -> bool {
        let mut spans = self.peers.values().filter_map(|p| p.reads);
        spans.any(|span| span.covers(since, now))
    }

    /// Interval between two rounds of datagrams.
    pub(crate) fn send_interval(&self, now: Instant) -> Duration {
        if self.uses_hubs(now) {
            return if self.is_hub(now) {
                HUB_INTERVAL
            } else {
                MEMBER_INTERVAL
            };
        }
        self.mesh_interval(now)
    }

    /// Interval between two rounds of datagrams while each VM sends to all others.
    fn mesh_interval(&self, now: Instant) -> Duration {
        let count = u32::try_from(self.live_peers(now).count()).unwrap_or(u32::MAX);
        MIN_SEND_INTERVAL.max(INTERVAL_PER_PEER * count)
    }

    /// Mean age of the loads that VMs place by: time to a hub, to another one, and from there.
    pub(crate) fn load_age(&self, now: Instant) -> Duration {
        if self.uses_hubs(now) {
            return (MEMBER_INTERVAL + HUB_INTERVAL * 2) / 2;
        }
        self.send_interval(now) / 2
    }

    /// Whether this process of another VM was heard of lately.
    pub(crate) fn is_live(&self, now: Instant, vm: &VmId, inc: Incarnation) -> bool {
        self.live(now).any(|(live, p)| live == vm && p.inc == inc)
    }

    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = (&VmId, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, p)| now.since(p.last_heard) < PEER_TIMEOUT)
    }

    pub(super) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.live(now).map(|(_, p)| p)
    }
}

/// VMs in the order in which they become readers and hubs: largest CPU share first, ties decided by
/// name.
pub(super) fn ranked<'a>(
    peers: impl Iterator<Item = (&'a VmId, &'a Peer)>,
) -> impl Iterator<Item = (&'a VmId, &'a Peer)> {
    let mut sorted: Vec<_> = peers.collect();
    sorted.sort_unstable_by(|(a, x), (b, y)| (y.millicores, b).cmp(&(x.millicores, a)));
    sorted.into_iter()
}
