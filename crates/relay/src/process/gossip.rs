//! Exchange of load with the other VMs.

use {
    super::Node,
    crate::peers::{PeerNews, SILENT},
    async_io::Async,
    route::PeerLoad,
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
    },
    types::Version,
};

/// Largest datagram that is sent: fits one packet of a usual link.
const MOST_BYTES: usize = 1_400;

/// Speaks to the other VMs until it is dropped.
pub(super) async fn speak(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let own = node.settings.peers;
    let seeds: Vec<_> = node
        .settings
        .seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), own.port()))
        .filter(|addr| *addr != own)
        .collect();
    let mut seq = 0;
    loop {
        seq += 1;
        let now = node.clock.now();
        let (targets, pause, ahead) = {
            let mut peers = node.peers.lock();
            peers.introduce(now, seeds.iter().copied());
            (peers.targets(now), peers.pause(now), peers.ahead(now))
        };
        if let Some(offset) = node.time.compare(ahead) {
            log::warn!(offset_ms = offset; "time of day corrected by the other VMs");
        }
        let bytes = encode(&node, seq);
        for target in targets {
            if let Err(e) = socket.send_to(&bytes, target).await {
                log::debug!(peer:% = target, error:% = e; "datagram not sent");
            }
        }
        node.clock.sleep(pause).await;
    }
}

fn encode(node: &Node, seq: u64) -> Vec<u8> {
    let now = node.clock.now();
    let version = node.catalog().map_or(Version::default(), |c| c.doc.version);
    let (mut loads, rates) = {
        let mut placers = node.placers.lock();
        let rates: Vec<_> = placers
            .iter_mut()
            .map(|(id, p)| (id.clone(), p.prompt_rate(now)))
            .collect();
        let own = placers.values().flat_map(|p| p.own_loads());
        let loads: Vec<_> = own.map(|(id, load)| (id.clone(), load)).collect();
        (loads, rates)
    };
    let addrs = node.peers.lock().sample(now);
    loop {
        let news = PeerNews {
            vm: node.settings.vm.clone(),
            inc: node.inc,
            zone: node.settings.zone.clone(),
            power: node.settings.power,
            seq,
            version,
            loads: loads.clone(),
            rates: rates.clone(),
            leaving: node.life.is_stopping(),
            unix_ms: u64::try_from(node.time.own(now).as_millis()).unwrap_or(u64::MAX),
            addrs: addrs.clone(),
        };
        let Ok(bytes) = rmp_serde::to_vec(&news) else {
            log::error!("load cannot be encoded");
            return Vec::new();
        };
        if bytes.len() <= MOST_BYTES || loads.is_empty() {
            return bytes;
        }
        // The smallest loads matter least.
        loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.pending_prefill));
        loads.truncate(loads.len() * 3 / 4);
    }
}

/// Hears the other VMs until it is dropped.
pub(super) async fn hear(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let mut buf = [0u8; 2048];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((size, from)) => take_in(&node, from, &buf[..size]),
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) => {
                log::warn!(error:% = e; "cannot receive datagrams");
                node.clock.sleep(SILENT / 10).await;
            }
        }
    }
}

fn take_in(node: &Node, from: SocketAddr, bytes: &[u8]) {
    let Ok(news) = rmp_serde::from_slice::<PeerNews>(bytes) else {
        log::debug!(peer:% = from; "datagram cannot be decoded");
        return;
    };
    if news.vm == node.settings.vm {
        return;
    }
    let now = node.clock.now();
    let own_ms = i64::try_from(node.time.own(now).as_millis()).unwrap_or(i64::MAX);
    let (heard, count) = {
        let mut peers = node.peers.lock();
        let heard = peers.hear(now, from, &news, node.settings.peers, own_ms);
        let Some(heard) = heard else {
            return;
        };
        (heard, peers.count(now))
    };
    if heard.is_new {
        log::info!(peer:% = news.vm, addr:% = from, vms = count; "VM heard");
        node.share_budgets(count);
    }
    let until = now + SILENT;
    let mut placers = node.placers.lock();
    for (service, rate) in &news.rates {
        if let Some(placer) = placers.get_mut(service) {
            placer.set_peer_rate(&news.vm, *rate, until);
        }
    }
    for placer in placers.values_mut() {
        for (id, load) in &news.loads {
            placer.set_peer_load(&news.vm, id, PeerLoad { load: *load, until });
        }
        for id in &heard.cleared {
            let load = route::Load::default();
            placer.set_peer_load(&news.vm, id, PeerLoad { load, until });
        }
    }
}
