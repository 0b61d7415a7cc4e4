//! Collects the demand for endpoints from the zone's entries.

use {
    clock::Instant,
    conf::PoolBounds,
    fleet::Demand,
    http_types::Method,
    mesh::{DEMAND_PATH, DemandReport, MeshNode},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    types::{Bytes, ModelId, VmId, ZoneId},
    wire::{Call, CallTimeouts},
};

const MAX_RESPONSE: Bytes = Bytes(1024 * 1024);
const TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(200),
    head: Duration::from_millis(500),
    body_idle: Duration::from_millis(500),
};
/// How long the last answer of an entry counts after the entry stopped responding.
const MAX_AGE: Duration = Duration::from_secs(30);

/// The last answer of each entry of the zone.
#[derive(Default)]
pub(super) struct DemandCache {
    answers: BTreeMap<VmId, (Instant, DemandReport)>,
}

impl DemandCache {
    /// Asks all entries of the zone, one after the other. Drops answers that are too old or
    /// whose VM is no longer listed.
    pub(super) async fn refresh(&mut self, node: &MeshNode, zone: &ZoneId) {
        let entries: Vec<(VmId, SocketAddr)> = {
            let store = node.store();
            let zone_vms = store.vms().vms.iter().filter(|v| v.zone == *zone);
            zone_vms.map(|v| (v.vm.clone(), v.addr)).collect()
        };
        for (vm, addr) in &entries {
            if let Some(answer) = ask(node, *addr).await {
                self.answers
                    .insert(vm.clone(), (node.clock().now(), answer));
            }
        }
        let now = node.clock().now();
        self.answers.retain(|vm, (at, _)| {
            now.since(*at) < MAX_AGE && entries.iter().any(|(listed, _)| listed == vm)
        });
    }

    /// Returns the demand for each served model or service; empty while no entry has answered.
    pub(super) fn demands(&self, pools: &[PoolBounds]) -> BTreeMap<ModelId, Demand> {
        if self.answers.is_empty() {
            return BTreeMap::new();
        }
        let served = pools.iter().map(|p| (p.serves.clone(), Demand::default()));
        let mut demands: BTreeMap<ModelId, Demand> = served.collect();
        for line in self.answers.values().flat_map(|(_, a)| &a.lines) {
            let demand = demands.entry(line.serves.clone()).or_default();
            demand.waiting = demand.waiting.saturating_add(line.waiting);
            demand.running = demand.running.saturating_add(line.running);
        }
        demands
    }
}

/// Asks one entry for its demand; `None` when it does not respond.
async fn ask(node: &MeshNode, addr: SocketAddr) -> Option<DemandReport> {
    let mut call = Call::new(addr, Method::Post, DEMAND_PATH).timeouts(TIMEOUTS);
    node.auth().sign(&mut call.request);
    let mut reply = node.client().send(call).await.ok()?;
    reply.msgpack(MAX_RESPONSE).await.ok()
}
