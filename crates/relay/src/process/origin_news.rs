//! Tells other VMs which releases began streams, and asks them.

use {
    super::{
        Node,
        gossip::{DatagramKind, MAX_DATAGRAM_BYTES, send},
    },
    async_io::Async,
    clock::Instant,
    origins::OriginNews,
    std::{
        collections::BTreeMap,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
};

/// Interval between two rounds of news while there is any.
const ROUND_INTERVAL: Duration = Duration::from_millis(25);
/// Questions from which they are no longer kept while there is nobody to ask: their callers may have left.
const MAX_KEPT_ASKS: usize = 256;
/// Interval at which old knowledge is dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The VMs that news goes to.
struct Targets {
    /// All VMs of a small fleet, or the hubs of the zone.
    near: Vec<SocketAddr>,
    /// Hubs of other zones.
    far: Vec<SocketAddr>,
    /// The hubs that keep what this zone knows.
    backup: Vec<SocketAddr>,
    /// The other VMs of the zone.
    members: Vec<SocketAddr>,
    is_hub: bool,
    is_first: bool,
}

impl Targets {
    fn of(node: &Node, now: Instant) -> Self {
        let peers = node.peers.lock();
        let (far, members) = peers.summary_targets(now);
        let is_hub = peers.is_hub(now);
        Self {
            near: peers.origin_targets(now),
            far,
            backup: peers.backup_hubs(now),
            members,
            is_hub,
            is_first: is_hub && peers.is_first_hub(now),
        }
    }
}

/// Sends what there is to tell and to ask, until it is dropped. Sleeps while there is nothing.
pub(super) async fn send_origin_news(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let mut hubs = Vec::new();
    loop {
        let due = node.origins_due.listen();
        let is_quiet = {
            let origins = node.origins.lock();
            origins.known.is_quiet() && origins.asks.is_empty()
        };
        if is_quiet {
            due.await;
        }
        send_round(&node, &socket, &mut hubs).await;
        node.clock.sleep(ROUND_INTERVAL).await;
    }
}

/// Drops old knowledge until it is dropped itself.
pub(super) async fn expire_origins(node: Arc<Node>) {
    loop {
        node.clock.sleep(EXPIRY_INTERVAL).await;
        let mut origins = node.origins.lock();
        origins.known.expire(node.clock.now());
        // A list that is out of date has others told.
        let is_quiet = origins.known.is_quiet();
        let has_log_write = origins.known.log_due().is_some();
        drop(origins);
        if !is_quiet {
            node.origins_due.notify(usize::MAX);
        }
        if has_log_write {
            node.origins_added.notify(usize::MAX);
        }
    }
}

async fn send_round(node: &Node, socket: &Async<UdpSocket>, hubs: &mut Vec<SocketAddr>) {
    let now = node.clock.now();
    let targets = Targets::of(node, now);
    let (asks, answers, news, relayed, doubts) = {
        let mut origins = node.origins.lock();
        if targets.near != *hubs && !targets.far.is_empty() {
            // The first ones aren't a change.
            if !hubs.is_empty() {
                origins.known.hubs_changed(now);
            }
            hubs.clone_from(&targets.near);
        }
        // A VM that has just started may know no other one yet.
        let asks = if targets.near.is_empty() && origins.asks.len() < MAX_KEPT_ASKS {
            BTreeMap::new()
        } else {
            std::mem::take(&mut origins.asks)
        };
        let known = &mut origins.known;
        (
            asks,
            known.take_answers(),
            known.take_news(now, targets.near.len()),
            known.take_relayed(now, targets.is_first),
            known.take_doubts(now, targets.is_hub),
        )
    };
    for ask in asks.values() {
        send_all(socket, &targets.near, ask).await;
        if targets.is_hub {
            send_all(socket, &targets.far, ask).await;
        }
    }
    for (addr, answer) in &answers {
        send_all(socket, std::slice::from_ref(addr), answer).await;
    }
    send_all(socket, &targets.near, &news).await;
    send_all(socket, &targets.backup, &relayed).await;
    send_all(socket, &targets.members, &doubts.near).await;
    send_all(socket, &targets.far, &doubts.far).await;
}

async fn send_all(socket: &Async<UdpSocket>, addrs: &[SocketAddr], news: &OriginNews) {
    if news.is_empty() || addrs.is_empty() {
        return;
    }
    let datagrams = match news.encode(MAX_DATAGRAM_BYTES) {
        Ok(datagrams) => datagrams,
        Err(e) => {
            log::error!(error:% = e; "cannot encode news of streams");
            return;
        }
    };
    for bytes in &datagrams {
        for addr in addrs {
            send(socket, *addr, bytes, DatagramKind::Origins).await;
        }
    }
}

/// Applies a datagram with news of streams, and answers its questions; false if it is something else.
pub(super) async fn apply_origin_news(
    node: &Node,
    socket: &Async<UdpSocket>,
    from: SocketAddr,
    bytes: &[u8],
) -> bool {
    let news = match OriginNews::decode(bytes) {
        None => return false,
        Some(Ok(news)) => news,
        Some(Err(e)) => {
            log::debug!(peer:% = from, error:% = e; "cannot decode news of streams");
            return true;
        }
    };
    let now = node.clock.now();
    let targets = Targets::of(node, now);
    let (reaction, is_quiet) = {
        let mut origins = node.origins.lock();
        let reaction = origins.known.learn(now, from, &news, targets.is_hub);
        (reaction, origins.known.is_quiet())
    };
    node.origins_learned.notify(usize::MAX);
    if !news.asks.is_empty() {
        node.records_asked.notify(usize::MAX);
    }
    if !is_quiet {
        node.origins_due.notify(usize::MAX);
    }
    for (addr, answer) in &reaction.answers {
        send_all(socket, std::slice::from_ref(addr), answer).await;
    }
    send_all(socket, &targets.far, &reaction.forwarded).await;
    true
}
