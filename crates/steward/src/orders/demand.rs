//! Collects the demand that the zone's entries see.

use {
    clock::Instant,
    conf::Pool,
    fleet::Demand,
    http_types::Method,
    mesh::{DEMAND_PATH, DemandAnswer, Node},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    types::{Bytes, ModelId, VmId, ZoneId},
    wire::{Call, CallTimeouts},
};

const MAX_ANSWER: Bytes = Bytes(1024 * 1024);
const LIMITS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(200),
    head: Duration::from_millis(500),
    body_idle: Duration::from_millis(500),
};
/// How long the last answer of an entry that does not answer counts.
const KEEP: Duration = Duration::from_secs(30);

/// Last answers of the zone's entries.
#[derive(Default)]
pub(super) struct DemandBook {
    answers: BTreeMap<VmId, (Instant, DemandAnswer)>,
}

impl DemandBook {
    /// Asks all entries of the zone.
    pub(super) async fn refresh(&mut self, node: &Node, zone: &ZoneId) {
        let entries: Vec<(VmId, SocketAddr)> = {
            let store = node.store();
            let own = store.vms().vms.iter().filter(|v| v.zone == *zone);
            own.map(|v| (v.vm.clone(), v.addr)).collect()
        };
        for (vm, addr) in &entries {
            if let Some(answer) = ask(node, *addr).await {
                self.answers
                    .insert(vm.clone(), (node.clock().now(), answer));
            }
        }
        let now = node.clock().now();
        self.answers.retain(|vm, (at, _)| {
            now.since(*at) < KEEP && entries.iter().any(|(listed, _)| listed == vm)
        });
    }

    /// Demand for each pool; empty while no entry has answered.
    pub(super) fn demands(&self, pools: &[Pool]) -> BTreeMap<ModelId, Demand> {
        if self.answers.is_empty() {
            return BTreeMap::new();
        }
        let served = pools.iter().map(|p| (p.serves.clone(), Demand::default()));
        let mut demands: BTreeMap<ModelId, Demand> = served.collect();
        for line in self.answers.values().flat_map(|(_, a)| &a.lines) {
            let demand = demands.entry(line.serves.clone()).or_default();
            demand.waiting = demand.waiting.saturating_add(line.waiting);
            demand.running = demand.running.saturating_add(line.held);
        }
        demands
    }
}

async fn ask(node: &Node, addr: SocketAddr) -> Option<DemandAnswer> {
    let mut call = Call::new(addr, Method::Post, DEMAND_PATH).timeouts(LIMITS);
    node.auth().sign(&mut call.request);
    let mut reply = node.client().send(call).await.ok()?;
    reply.msgpack(MAX_ANSWER).await.ok()
}
