//! Exchange of load and state with the other VMs by UDP.

use {
    super::{
        Node,
        crashes::{apply_crash_news, send_crash_news},
        origin_news::apply_origin_news,
        summaries::{apply_summary, send_roster, send_summaries},
    },
    crate::{
        endpoints::ReadAges,
        peers::{
            FleetRoster, GossipMessage, LoadSummary, MessageFormat, MessageParts, PEER_TIMEOUT,
            ServiceDemand,
        },
    },
    async_io::Async,
    clock::Instant,
    route::{LimitNotice, Load, OrgRow, PeerLoad, Reporter, SlotDemand},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        io,
        net::{SocketAddr, UdpSocket},
        sync::{Arc, atomic::Ordering::SeqCst},
    },
    types::{EndpointId, PerSecond, ServiceId, Version},
};

/// Largest datagram that is sent; fits into one packet of a common link.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Why a datagram is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DatagramKind {
    /// A message of a regular round.
    Round,
    /// The reply to a VM that asks for the addresses of hubs.
    Reply,
    /// A part of a load summary.
    Summary,
    /// The order of the fleet's VMs.
    Roster,
    /// Crashes of endpoints and their causes.
    Crashes,
    /// Releases that began streams, and questions for them.
    Origins,
}

impl DatagramKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Round => "round",
            Self::Reply => "reply",
            Self::Summary => "summary",
            Self::Roster => "roster",
            Self::Crashes => "crashes",
            Self::Origins => "origins",
        }
    }
}

/// The loads and rates that this VM last sent to its hub; its summaries contain them.
#[derive(Debug, Default)]
pub(crate) struct SentLoads {
    pub(super) loads: BTreeMap<EndpointId, Load>,
    pub(super) rates: BTreeMap<ServiceId, u64>,
    pub(super) demand: BTreeMap<ServiceId, SlotDemand>,
}

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
    loop {
        let now = node.clock.now();
        let (targets, formats, interval, offsets, is_first_hub, is_hub, rank, vms, load_age) = {
            let mut peers = node.peers.lock();
            (
                peers.targets(now, &seeds),
                peers.formats(),
                peers.send_interval(now),
                peers.clock_offsets(now),
                peers.is_first_hub(now),
                peers.is_hub(now),
                peers.fleet_rank(now),
                peers.vm_count(now),
                peers.load_age(now),
            )
        };
        node.set_rank(rank.filter(|_| !node.lifecycle.is_stopping()));
        node.set_fleet(vms, load_age);
        node.note_vms(vms);
        let limits = node.registry.lock().tell_limits(now, is_hub);
        if let Some(offset) = node.wall_clock.update_offset(offsets) {
            log::warn!(offset_ms = offset; "wall clock corrected from the clocks of the other VMs");
        }
        let addrs: Vec<_> = targets.iter().map(|t| t.addr).collect();
        send_crash_news(&node, &socket, &addrs).await;
        let mut encoded: BTreeMap<MessageParts, Vec<u8>> = BTreeMap::new();
        for target in targets {
            let parts = target.parts;
            let bytes = encoded.entry(parts).or_insert_with(|| {
                let (bytes, sent) = encode(&node, parts, &[], &limits);
                if parts.loads {
                    *node.sent_loads.lock() = sent;
                }
                bytes
            });
            let format = formats.get(&target.addr);
            let bytes = format.unwrap_or(&MessageFormat::COMMON).apply(bytes);
            send(&socket, target.addr, &bytes, DatagramKind::Round).await;
        }
        if is_first_hub {
            send_summaries(&node, &socket).await;
            send_roster(&node, &socket).await;
        }
        node.clock.sleep(interval).await;
    }
}

pub(super) async fn send(
    socket: &Async<UdpSocket>,
    addr: SocketAddr,
    bytes: &[u8],
    kind: DatagramKind,
) {
    let kind = kind.as_str();
    metrics::counter!("celerystage_gossip_datagrams_total", "kind" => kind).increment(1);
    metrics::counter!("celerystage_gossip_bytes_total", "kind" => kind)
        .increment(bytes.len() as u64);
    if let Err(e) = socket.send_to(bytes, addr).await {
        log::debug!(peer:% = addr, error:% = e; "cannot send a datagram");
    }
}

/// Encodes the state of this VM with the given parts, and tells the loads and rates in it. `reply`
/// are the addresses for a VM that asked for them. The smallest loads are left out if the datagram
/// would be too large.
fn encode(
    node: &Node,
    parts: MessageParts,
    reply: &[SocketAddr],
    limits: &[LimitNotice],
) -> (Vec<u8>, SentLoads) {
    let now = node.clock.now();
    let seq = node.gossip_seq.fetch_add(1, SeqCst);
    let version = node.config().map_or(Version::default(), |c| c.doc.version);
    let reads = node.freshness.lock().endpoints_span();
    let SentLoads {
        loads,
        rates,
        demand,
    } = if parts.loads {
        own_loads(node, now)
    } else {
        SentLoads::default()
    };
    let mut loads: Vec<_> = loads.into_iter().collect();
    let rates: Vec<_> = rates.into_iter().collect();
    let orgs = if parts.loads {
        org_rows(node, now)
    } else {
        BTreeMap::new()
    };
    let told = demand.iter().map(|(service, slots)| ServiceDemand {
        service: service.clone(),
        slots: *slots,
        orgs: orgs.get(service).cloned().unwrap_or_default(),
    });
    let told: Vec<_> = told.collect();
    let carries = node.carries();
    let departures = node.registry.lock().recent_departures(now);
    let (status, addrs, assigned, logs) = {
        let peers = node.peers.lock();
        (
            peers.hub_status(now),
            peers.addresses(now, parts.addresses, reply),
            peers.zone_follows_assignments(),
            peers.zone_logs_origins(),
        )
    };
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
            reads: reads.map(|span| ReadAges::of(span, now)),
            vms: status.vms,
            hub: status.hub,
            seeks: parts.seeks,
            departures: departures.clone(),
            limits: limits.to_vec(),
            carries,
            demand: told.clone(),
            assigned,
            logs,
        };
        let Ok(bytes) = message.encode() else {
            log::error!("cannot encode a gossip datagram");
            return (Vec::new(), SentLoads::default());
        };
        if bytes.len() <= MAX_DATAGRAM_BYTES || loads.is_empty() {
            let sent = SentLoads {
                loads: loads.into_iter().collect(),
                rates: rates.into_iter().collect(),
                demand,
            };
            return (bytes, sent);
        }
        // Drops the smallest loads, which matter least.
        loads.sort_by_key(|(_, load)| Reverse((load.pending_prefill, load.in_flight)));
        loads.truncate(loads.len() * 3 / 4);
    }
}

/// The loads and rates of this VM.
fn own_loads(node: &Node, now: Instant) -> SentLoads {
    let mut placers = node.placers.lock();
    let rates = placers.iter_mut();
    let rates = rates
        .map(|(id, p)| (id.clone(), p.prompt_rate(now)))
        .collect();
    let demand = placers.iter_mut();
    let demand = demand.map(|(id, p)| (id.clone(), p.slot_demand(now)));
    let demand = demand.filter(|(_, d)| d.total() > 0).collect();
    let loads = placers.values().flat_map(|p| p.own_loads(now));
    let loads = loads.map(|(id, load)| (id.clone(), load)).collect();
    SentLoads {
        loads,
        rates,
        demand,
    }
}

/// The organisations with the highest slot demand at this VM, by service.
fn org_rows(node: &Node, now: Instant) -> BTreeMap<ServiceId, Vec<OrgRow>> {
    let placers = node.placers.lock();
    let rows = placers.iter().map(|(id, p)| (id.clone(), p.org_rows(now)));
    rows.collect()
}

/// Receives gossip from the other VMs until it is dropped.
pub(super) async fn receive_gossip(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let mut buf = [0u8; 2048];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((size, from)) => {
                if apply_origin_news(&node, &socket, from, &buf[..size]).await {
                    continue;
                }
                if let Some(reply) = apply_datagram(&node, from, &buf[..size]) {
                    send(&socket, from, &reply, DatagramKind::Reply).await;
                }
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) => {
                log::warn!(error:% = e; "cannot receive datagrams");
                node.clock.sleep(PEER_TIMEOUT / 10).await;
            }
        }
    }
}

/// Applies a datagram; returns the reply to a VM that asks for the addresses of hubs.
fn apply_datagram(node: &Node, from: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
    if apply_crash_news(node, from, bytes) {
        return None;
    }
    match FleetRoster::decode(bytes) {
        Some(Ok(roster)) => {
            let mut peers = node.peers.lock();
            peers.set_roster(node.clock.now(), &roster);
            return None;
        }
        Some(Err(e)) => {
            log::debug!(peer:% = from, error:% = e; "cannot decode a roster");
            return None;
        }
        None => {}
    }
    match LoadSummary::decode(bytes) {
        Some(Ok(summary)) => {
            apply_summary(node, &summary);
            None
        }
        Some(Err(e)) => {
            log::debug!(peer:% = from, error:% = e; "cannot decode a load summary");
            None
        }
        None => apply_message(node, from, bytes),
    }
}

/// Applies a gossip message to the peer table and the placers.
fn apply_message(node: &Node, from: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
    let (message, format) = match GossipMessage::decode(bytes) {
        Ok(decoded) => decoded,
        Err(e) => {
            metrics::counter!("celerystage_gossip_unreadable_total").increment(1);
            log::debug!(peer:% = from, error:% = e; "cannot decode a datagram");
            return None;
        }
    };
    if message.vm == node.settings.vm {
        return None;
    }
    let now = node.clock.now();
    let own_ms = i64::try_from(node.wall_clock.uncorrected(now).as_millis()).unwrap_or(i64::MAX);
    let (received, count, uses_loads) = {
        let mut peers = node.peers.lock();
        let received = peers.receive(now, from, (&message, format), node.settings.peers, own_ms)?;
        let uses_loads = !peers.uses_hubs(now) || peers.is_first_hub(now);
        (received, peers.vm_count(now), uses_loads)
    };
    if received.is_new {
        log::info!(peer:% = message.vm, addr:% = from, vms = count, format:% = format; "peer VM discovered");
        node.note_vms(count);
    }
    for (id, born) in &message.departures {
        if node.mark_leaving(id, *born) {
            log::info!(endpoint:% = id, peer:% = message.vm; "endpoint leaves, as another VM was told");
        }
    }
    for notice in &message.limits {
        if node.learn_limit(notice) {
            log::info!(
                endpoint:% = notice.id, peer:% = message.vm,
                limit = notice.limit.map_or(-1.0, PerSecond::get), age_ms = notice.age_ms;
                "endpoint changed its limit, as another VM was told"
            );
        }
    }
    if uses_loads {
        apply_loads(node, now, &message, &received.cleared);
    }
    let addrs = received.reply?;
    let (bytes, _) = encode(node, MessageParts::REPLY, &addrs, &[]);
    Some(format.apply(&bytes))
}

fn apply_loads(node: &Node, now: Instant, message: &GossipMessage, cleared: &[EndpointId]) {
    let until = now + PEER_TIMEOUT;
    let reporter = Reporter::Vm(message.vm.clone());
    let mut placers = node.placers.lock();
    for (service, rate) in &message.rates {
        if let Some(placer) = placers.get_mut(service) {
            placer.set_peer_rate(&reporter, *rate, until);
        }
    }
    for demand in &message.demand {
        if let Some(placer) = placers.get_mut(&demand.service) {
            placer.set_peer_demand(&reporter, demand.slots, until);
            placer.set_peer_orgs(&reporter, demand.orgs.clone(), until);
        }
    }
    for placer in placers.values_mut() {
        for (id, load) in &message.loads {
            placer.set_peer_load(&reporter, id, PeerLoad { load: *load, until });
        }
        for id in cleared {
            let load = Load::default();
            placer.set_peer_load(&reporter, id, PeerLoad { load, until });
        }
    }
}
