//! Which VMs are heard, and how often this one speaks.

use {
    super::{PeerNews, news::MOST_ADDRS},
    clock::Stamp,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{EndpointId, Incarnation, VmId, ZoneId},
};

/// Time without a datagram after which a VM no longer counts, and its load is dropped.
pub(crate) const SILENT: Duration = Duration::from_secs(3);
/// Shortest time between two datagrams to one VM.
pub(crate) const SHORTEST: Duration = Duration::from_millis(200);
/// Time between two datagrams for each VM heard: keeps those received below 100 a second.
const FOR_EACH: Duration = Duration::from_millis(10);
/// Time after which a silent VM is no longer written to.
const FORGOTTEN: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Peer {
    addr: SocketAddr,
    inc: Incarnation,
    seq: u64,
    zone: ZoneId,
    millicores: u32,
    first: Stamp,
    heard: Stamp,
    leaving: bool,
    /// How far its clock is ahead of the own one, in milliseconds.
    ahead: i64,
    /// Endpoints of its last load.
    loaded: BTreeSet<EndpointId>,
}

/// What a datagram changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Heard {
    /// The sender was not known or silent.
    pub(crate) is_new: bool,
    /// Endpoints at which the sender has no requests any more.
    pub(crate) cleared: Vec<EndpointId>,
}

/// Shortest time that a VM must have been heard before it reads for others: it has to know the
/// platform's state itself first.
const READER_AGE: Duration = Duration::from_secs(1);
/// Time without a datagram after which a VM no longer reads for others.
const READER_SILENT: Duration = Duration::from_millis(1_500);

/// The other VMs.
#[derive(Debug)]
pub(crate) struct PeerTable {
    vm: VmId,
    zone: ZoneId,
    millicores: u32,
    peers: BTreeMap<VmId, Peer>,
    /// Addresses heard of but not from, and when.
    rumours: BTreeMap<SocketAddr, Stamp>,
}

impl PeerTable {
    /// A table of the VM `vm`, which has `power` thousandths of a core.
    pub(crate) fn new(vm: VmId, zone: ZoneId, millicores: u32) -> Self {
        Self {
            vm,
            zone,
            millicores,
            peers: BTreeMap::new(),
            rumours: BTreeMap::new(),
        }
    }

    /// VMs that read the platform for this zone before this one does: the stronger ones that are heard and
    /// stay, strongest first.
    pub(crate) fn readers(&self, now: Stamp) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, p)| {
            let settled = now.since(p.first) >= READER_AGE.max(FOR_EACH * 100);
            settled && now.since(p.heard) < READER_SILENT.max(self.pause(now) * 3)
        });
        let fit = live.filter(|(_, p)| p.zone == self.zone && !p.leaving);
        let mut stronger: Vec<_> = fit
            .map(|(vm, p)| ((p.millicores, vm), p.addr))
            .filter(|(rank, _)| *rank > (self.millicores, &self.vm))
            .collect();
        stronger.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
        stronger.into_iter().map(|(_, addr)| addr).collect()
    }

    /// Takes in a datagram; nothing if it is older than one that was taken in before.
    pub(crate) fn hear(
        &mut self,
        now: Stamp,
        from: SocketAddr,
        news: &PeerNews,
        own: SocketAddr,
        own_ms: i64,
    ) -> Option<Heard> {
        let old = self.peers.get(&news.vm);
        if old.is_some_and(|p| (p.inc, p.seq) >= (news.inc, news.seq)) {
            return None;
        }
        let is_new = old.is_none_or(|p| now.since(p.heard) >= SILENT);
        let loaded: BTreeSet<_> = news.loads.iter().map(|(id, _)| id.clone()).collect();
        let before = old.map(|p| p.loaded.clone()).unwrap_or_default();
        let peer = Peer {
            addr: from,
            inc: news.inc,
            seq: news.seq,
            zone: news.zone.clone(),
            millicores: news.millicores,
            first: old
                .filter(|p| !is_new && p.inc == news.inc)
                .map_or(now, |p| p.first),
            heard: now,
            leaving: news.leaving,
            ahead: i64::try_from(news.unix_ms).unwrap_or(i64::MAX) - own_ms,
            loaded,
        };
        let cleared = before.difference(&peer.loaded).cloned().collect();
        self.peers.insert(news.vm.clone(), peer);
        self.rumours.remove(&from);
        let known: BTreeSet<_> = self.peers.values().map(|p| p.addr).collect();
        for addr in news.addrs.iter().take(MOST_ADDRS) {
            if *addr != own && !known.contains(addr) {
                self.rumours.entry(*addr).or_insert(now);
            }
        }
        Some(Heard { is_new, cleared })
    }

    /// Adds addresses to write to.
    pub(crate) fn introduce(&mut self, now: Stamp, addrs: impl IntoIterator<Item = SocketAddr>) {
        for addr in addrs {
            if !self.peers.values().any(|p| p.addr == addr) {
                self.rumours.insert(addr, now);
            }
        }
    }

    /// Whom to write to now.
    pub(crate) fn targets(&mut self, now: Stamp) -> Vec<SocketAddr> {
        self.rumours.retain(|_, at| now.since(*at) < FORGOTTEN);
        self.peers.retain(|_, p| now.since(p.heard) < FORGOTTEN);
        let peers = self.peers.values().map(|p| p.addr);
        peers.chain(self.rumours.keys().copied()).collect()
    }

    /// Some VMs to tell others of.
    pub(crate) fn sample(&self, now: Stamp) -> Vec<SocketAddr> {
        let live = self.live(now).map(|p| p.addr);
        let mut addrs: Vec<_> = live.collect();
        fastrand::shuffle(&mut addrs);
        addrs.truncate(MOST_ADDRS);
        addrs
    }

    /// VMs that take requests, this one included.
    pub(crate) fn count(&self, now: Stamp) -> usize {
        1 + self.live(now).filter(|p| !p.leaving).count()
    }

    /// How far the clocks of the VMs heard are ahead of the own one, in milliseconds.
    pub(crate) fn ahead(&self, now: Stamp) -> Vec<i64> {
        self.live(now).map(|p| p.ahead).collect()
    }

    /// Time between two rounds of datagrams.
    pub(crate) fn pause(&self, now: Stamp) -> Duration {
        let count = u32::try_from(self.live(now).count()).unwrap_or(u32::MAX);
        SHORTEST.max(FOR_EACH * count)
    }

    fn live(&self, now: Stamp) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |p| now.since(p.heard) < SILENT)
    }
}
