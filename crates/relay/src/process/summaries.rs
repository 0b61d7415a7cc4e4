//! What the first hub of a zone tells other hubs and the VMs of its zone: sums of loads, and the order
//! of the fleet's VMs.

use {
    super::{
        Node,
        gossip::{DatagramKind, send},
    },
    crate::peers::{LoadSummary, Scope, ServiceDemand, SummaryTrailer},
    async_io::Async,
    clock::Instant,
    route::{PeerLoad, Reporter},
    std::{net::UdpSocket, time::Duration},
};

/// Time for which a summary counts: three rounds of a hub.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Sends the sum over this zone to the hubs of the other zones, and the sum over the fleet to the
/// VMs of this zone.
pub(super) async fn send_summaries(node: &Node, socket: &Async<UdpSocket>) {
    let now = node.clock.now();
    let (hubs, members) = node.peers.lock().summary_targets(now);
    for (scope, addrs) in [(Scope::Zone, hubs), (Scope::Fleet, members)] {
        let parts = match summarize(node, now, scope).encode() {
            Ok(parts) => parts,
            Err(e) => {
                log::error!(error:% = e; "cannot encode a load summary");
                return;
            }
        };
        for addr in addrs {
            for part in &parts {
                send(socket, addr, part, DatagramKind::Summary).await;
            }
        }
    }
}

/// Sends the order of the fleet's VMs to the VMs of this zone, while endpoints name limits or are
/// brittle, and where the rate of cold endpoints is limited: they come without notice.
pub(super) async fn send_roster(node: &Node, socket: &Async<UdpSocket>) {
    let has_limits = node.registry.lock().has_limits();
    if !has_limits && !node.has_brittle_endpoints() && !node.limits_cold() {
        return;
    }
    let now = node.clock.now();
    let (roster, (_, members)) = {
        let peers = node.peers.lock();
        (peers.roster(now), peers.summary_targets(now))
    };
    let bytes = match roster.encode() {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!(error:% = e; "cannot encode a roster");
            return;
        }
    };
    for addr in members {
        send(socket, addr, &bytes, DatagramKind::Roster).await;
    }
}

fn summarize(node: &Node, now: Instant, scope: Scope) -> LoadSummary {
    let matches = |reporter: &Reporter| match (scope, reporter) {
        (_, Reporter::Vm(_)) | (Scope::Fleet, Reporter::Zone(_)) => true,
        (Scope::Zone, Reporter::Zone(_)) | (_, Reporter::Fleet) => false,
    };
    let mut placers = node.placers.lock();
    let loads = placers.values().flat_map(|p| p.summed_loads(now, matches));
    let loads = loads.collect();
    let rates = placers.iter_mut();
    let rates = rates
        .map(|(id, p)| (id.clone(), p.summed_rate(now, matches)))
        .collect();
    let demand = placers.iter_mut();
    let demand = demand.map(|(id, p)| ServiceDemand {
        service: id.clone(),
        slots: p.summed_demand(now, matches),
        orgs: p.summed_org_rows(now, matches),
    });
    let demand = demand.filter(|d| d.slots.total() > 0).collect();
    let mut peers = node.peers.lock();
    let vms = match scope {
        Scope::Zone => peers.own_zone_vms(now),
        Scope::Fleet => peers.summed_vms(now),
    };
    if scope == Scope::Fleet {
        peers.set_fleet_vms(now, vms);
    }
    LoadSummary {
        vm: node.settings.vm.clone(),
        zone: node.settings.zone.clone(),
        scope,
        vms,
        loads,
        rates,
        trailer: SummaryTrailer { demand },
    }
}

/// Applies the summary of a hub to the peer table and the placers.
pub(super) fn apply_summary(node: &Node, summary: &LoadSummary) {
    let now = node.clock.now();
    let own_zone = summary.zone == node.settings.zone;
    let reporter = {
        let mut peers = node.peers.lock();
        let is_first_hub = peers.is_first_hub(now);
        match summary.scope {
            Scope::Fleet if own_zone && !is_first_hub => {
                if peers.set_fleet_vms(now, summary.vms) {
                    drop(peers);
                    node.note_vms(summary.vms);
                }
                Reporter::Fleet
            }
            Scope::Zone if !own_zone && is_first_hub => {
                peers.set_zone_vms(now, &summary.zone, summary.vms);
                Reporter::Zone(summary.zone.clone())
            }
            Scope::Fleet | Scope::Zone => return,
        }
    };
    let until = now + SUMMARY_TIMEOUT;
    let sent = node.sent_loads.lock();
    let is_fleet = reporter == Reporter::Fleet;
    let mut placers = node.placers.lock();
    for (service, rate) in &summary.rates {
        let own = sent.rates.get(service).filter(|_| is_fleet);
        if let Some(placer) = placers.get_mut(service) {
            let others = rate.saturating_sub(own.copied().unwrap_or_default());
            placer.set_peer_rate(&reporter, others, until);
        }
    }
    for demand in &summary.trailer.demand {
        let own = sent.demand.get(&demand.service).filter(|_| is_fleet);
        if let Some(placer) = placers.get_mut(&demand.service) {
            let mut others = demand.slots;
            others.sub(own.copied().unwrap_or_default());
            placer.set_peer_demand(&reporter, others, until);
            // Its own rows among them are small beside the fleet's.
            placer.set_peer_orgs(&reporter, demand.orgs.clone(), until);
        }
    }
    for (id, load) in &summary.loads {
        let mut load = *load;
        if let Some(own) = sent.loads.get(id).filter(|_| is_fleet) {
            load.sub(*own);
        }
        for placer in placers.values_mut() {
            placer.set_peer_load(&reporter, id, PeerLoad { load, until });
        }
    }
}
