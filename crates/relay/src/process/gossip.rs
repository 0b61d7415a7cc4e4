//! Exchange of load and state with the other VMs by UDP.

use {
    super::Node,
    crate::{
        endpoints::ReadAges,
        peers::{GossipMessage, PEER_TIMEOUT},
    },
    async_io::Async,
    route::PeerLoad,
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
    },
    types::Version,
};

/// Largest datagram that is sent; fits into one packet of a common link.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Sends gossip to the other VMs until it is dropped.
pub(super) async fn send_gossip(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let own_addr = node.settings.peers;
    let seeds: Vec<_> = node
        .settings
        .seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), own_addr.port()))
        .filter(|addr| *addr != own_addr)
        .collect();
    let mut seq = 0;
    loop {
        seq += 1;
        let now = node.clock.now();
        let (targets, interval, offsets) = {
            let mut peers = node.peers.lock();
            peers.add_addresses(now, seeds.iter().copied());
            (
                peers.targets(now),
                peers.send_interval(now),
                peers.clock_offsets(now),
            )
        };
        if let Some(offset) = node.wall_clock.update_offset(offsets) {
            log::warn!(offset_ms = offset; "wall clock corrected from the clocks of the other VMs");
        }
        let bytes = encode(&node, seq);
        for target in targets {
            if let Err(e) = socket.send_to(&bytes, target).await {
                log::debug!(peer:% = target, error:% = e; "cannot send a datagram");
            }
        }
        node.clock.sleep(interval).await;
    }
}

/// Encodes the state of this VM; the smallest loads are left out if the datagram would be too
/// large.
fn encode(node: &Node, seq: u64) -> Vec<u8> {
    let now = node.clock.now();
    let version = node.config().map_or(Version::default(), |c| c.doc.version);
    let (mut loads, rates) = {
        let mut placers = node.placers.lock();
        let rates: Vec<_> = placers
            .iter_mut()
            .map(|(id, p)| (id.clone(), p.prompt_rate(now)))
            .collect();
        let own_loads = placers.values().flat_map(|p| p.own_loads());
        let loads: Vec<_> = own_loads.map(|(id, load)| (id.clone(), load)).collect();
        (loads, rates)
    };
    let addrs = node.peers.lock().sample_addresses(now);
    let reads = node.freshness.lock().endpoints_span();
    let reads = reads.map(|span| ReadAges::of(span, now));
    loop {
        let message = GossipMessage {
            vm: node.settings.vm.clone(),
            inc: node.incarnation,
            zone: node.settings.zone.clone(),
            millicores: node.settings.millicores,
            seq,
            version,
            loads: loads.clone(),
            rates: rates.clone(),
            leaving: node.lifecycle.is_stopping(),
            unix_ms: u64::try_from(node.wall_clock.uncorrected(now).as_millis())
                .unwrap_or(u64::MAX),
            addrs: addrs.clone(),
            reads,
        };
        let Ok(bytes) = rmp_serde::to_vec(&message) else {
            log::error!("cannot encode a gossip datagram");
            return Vec::new();
        };
        if bytes.len() <= MAX_DATAGRAM_BYTES || loads.is_empty() {
            return bytes;
        }
        // Drops the smallest loads, which matter least.
        loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.pending_prefill));
        loads.truncate(loads.len() * 3 / 4);
    }
}

/// Receives gossip from the other VMs until it is dropped.
pub(super) async fn receive_gossip(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let mut buf = [0u8; 2048];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((size, from)) => apply_message(&node, from, &buf[..size]),
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) => {
                log::warn!(error:% = e; "cannot receive datagrams");
                node.clock.sleep(PEER_TIMEOUT / 10).await;
            }
        }
    }
}

/// Applies a datagram to the peer table and the placers.
fn apply_message(node: &Node, from: SocketAddr, bytes: &[u8]) {
    let Ok(message) = rmp_serde::from_slice::<GossipMessage>(bytes) else {
        log::debug!(peer:% = from; "cannot decode a datagram");
        return;
    };
    if message.vm == node.settings.vm {
        return;
    }
    let now = node.clock.now();
    let own_ms = i64::try_from(node.wall_clock.uncorrected(now).as_millis()).unwrap_or(i64::MAX);
    let (received, count) = {
        let mut peers = node.peers.lock();
        let received = peers.receive(now, from, &message, node.settings.peers, own_ms);
        let Some(received) = received else {
            return;
        };
        (received, peers.vm_count(now))
    };
    if received.is_new {
        log::info!(peer:% = message.vm, addr:% = from, vms = count; "peer VM discovered");
        node.set_budget_reserves(count);
    }
    let until = now + PEER_TIMEOUT;
    let mut placers = node.placers.lock();
    for (service, rate) in &message.rates {
        if let Some(placer) = placers.get_mut(service) {
            placer.set_peer_rate(&message.vm, *rate, until);
        }
    }
    for placer in placers.values_mut() {
        for (id, load) in &message.loads {
            placer.set_peer_load(&message.vm, id, PeerLoad { load: *load, until });
        }
        for id in &received.cleared {
            let load = route::Load::default();
            placer.set_peer_load(&message.vm, id, PeerLoad { load, until });
        }
    }
}
