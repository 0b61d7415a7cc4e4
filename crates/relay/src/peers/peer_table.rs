//! The VMs that gossip is received from, and the interval at which this one sends its own.

use {
    super::{GossipMessage, gossip_message::MAX_ADDRS},
    crate::endpoints::ReadSpan,
    clock::Instant,
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
const FORGET_AFTER: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Peer {
    addr: SocketAddr,
    inc: Incarnation,
    seq: u64,
    zone: ZoneId,
    millicores: u32,
    first_heard: Instant,
    last_heard: Instant,
    leaving: bool,
    /// How far its clock is ahead of that of this VM, in milliseconds.
    offset_ms: i64,
    /// Endpoints in its last datagram.
    loaded_endpoints: BTreeSet<EndpointId>,
    /// When it could read the endpoint list.
    reads: Option<ReadSpan>,
}

/// Effect of a received datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Received {
    /// Whether the sender was unknown or had timed out.
    pub(crate) is_new: bool,
    /// Endpoints at which the sender no longer has any load.
    pub(crate) cleared: Vec<EndpointId>,
}

/// Time that a VM must have been known before the others rely on it as reader: it has to read the
/// platform's state itself first.
const MIN_READER_AGE: Duration = Duration::from_secs(1);
/// Time without a datagram after which a VM is no longer relied on as reader.
const READER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The other VMs, as known from their datagrams.
#[derive(Debug)]
pub(crate) struct PeerTable {
    vm: VmId,
    zone: ZoneId,
    millicores: u32,
    peers: BTreeMap<VmId, Peer>,
    /// Addresses that no datagram has come from yet, and when they were learnt.
    unconfirmed: BTreeMap<SocketAddr, Instant>,
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
        }
    }

    /// The VMs that precede this one as reader of the platform for their zone: the live VMs of the
    /// zone that are not leaving and have a larger CPU share, largest first. Ties are decided by
    /// name.
    pub(crate) fn readers(&self, now: Instant) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, p)| {
            let established =
                now.since(p.first_heard) >= MIN_READER_AGE.max(INTERVAL_PER_PEER * 100);
            established && now.since(p.last_heard) < READER_TIMEOUT.max(self.send_interval(now) * 3)
        });
        let eligible = live.filter(|(_, p)| p.zone == self.zone && !p.leaving);
        let mut stronger: Vec<_> = eligible
            .map(|(vm, p)| ((p.millicores, vm), p.addr))
            .filter(|(rank, _)| *rank > (self.millicores, &self.vm))
            .collect();
        stronger.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
        stronger.into_iter().map(|(_, addr)| addr).collect()
    }

    /// Applies a datagram; `None` if it is older than the last one of its sender.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: &GossipMessage,
        own_addr: SocketAddr,
        own_ms: i64,
    ) -> Option<Received> {
        let previous = self.peers.get(&message.vm);
        if previous.is_some_and(|p| (p.inc, p.seq) >= (message.inc, message.seq)) {
            return None;
        }
        let is_new = previous.is_none_or(|p| now.since(p.last_heard) >= PEER_TIMEOUT);
        let loaded_endpoints: BTreeSet<_> =
            message.loads.iter().map(|(id, _)| id.clone()).collect();
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
        };
        let cleared = previously_loaded
            .difference(&peer.loaded_endpoints)
            .cloned()
            .collect();
        self.peers.insert(message.vm.clone(), peer);
        self.unconfirmed.remove(&from);
        let known: BTreeSet<_> = self.peers.values().map(|p| p.addr).collect();
        for addr in message.addrs.iter().take(MAX_ADDRS) {
            if *addr != own_addr && !known.contains(addr) {
                self.unconfirmed.entry(*addr).or_insert(now);
            }
        }
        Some(Received { is_new, cleared })
    }

    /// Adds addresses to send to, such as those of the seeds.
    pub(crate) fn add_addresses(
        &mut self,
        now: Instant,
        addrs: impl IntoIterator<Item = SocketAddr>,
    ) {
        for addr in addrs {
            if !self.peers.values().any(|p| p.addr == addr) {
                self.unconfirmed.insert(addr, now);
            }
        }
    }

    /// The addresses to send to now.
    pub(crate) fn targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.unconfirmed
            .retain(|_, at| now.since(*at) < FORGET_AFTER);
        self.peers
            .retain(|_, p| now.since(p.last_heard) < FORGET_AFTER);
        let peers = self.peers.values().map(|p| p.addr);
        peers.chain(self.unconfirmed.keys().copied()).collect()
    }

    /// A random sample of the addresses of live VMs.
    pub(crate) fn sample_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let live = self.live_peers(now).map(|p| p.addr);
        let mut addrs: Vec<_> = live.collect();
        fastrand::shuffle(&mut addrs);
        addrs.truncate(MAX_ADDRS);
        addrs
    }

    /// Number of live VMs that are not leaving, this one included.
    pub(crate) fn vm_count(&self, now: Instant) -> usize {
        1 + self.live_peers(now).filter(|p| !p.leaving).count()
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
        let count = u32::try_from(self.live_peers(now).count()).unwrap_or(u32::MAX);
        MIN_SEND_INTERVAL.max(INTERVAL_PER_PEER * count)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |p| now.since(p.last_heard) < PEER_TIMEOUT)
    }
}
