//! Collects usage from the entries of a zone over HTTP on their mesh addresses.

use {
    crate::{Collector, PULL_PATH, PullFuture, PullRequest},
    http_types::Method,
    mesh::MeshNode,
    std::{sync::Arc, time::Duration},
    types::{Bytes, VmId, ZoneId},
    wire::{Call, CallTimeouts, to_msgpack},
};

const MAX_RESPONSE: Bytes = Bytes(16 * 1024 * 1024);
const TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(250),
    head: Duration::from_millis(750),
    body_idle: Duration::from_millis(750),
};

/// Collects from the entries of one zone, which it finds in the VM list.
pub struct ZoneCollector {
    node: Arc<MeshNode>,
    zone: ZoneId,
}

impl ZoneCollector {
    /// Creates a collector for the VMs of `zone` that `node` knows.
    pub fn new(node: Arc<MeshNode>, zone: ZoneId) -> Self {
        Self { node, zone }
    }
}

impl Collector for ZoneCollector {
    fn vms(&self) -> Vec<VmId> {
        let store = self.node.store();
        let zone_vms = store.vms().vms.iter().filter(|v| v.zone == self.zone);
        zone_vms.map(|v| v.vm.clone()).collect()
    }

    fn pull(&self, vm: VmId, request: PullRequest) -> PullFuture<'_> {
        Box::pin(async move {
            let addr = {
                let store = self.node.store();
                store.vms().vms.iter().find(|v| v.vm == vm)?.addr
            };
            let mut call = Call::new(addr, Method::Post, PULL_PATH)
                .body(to_msgpack(&request).ok()?)
                .timeouts(TIMEOUTS);
            self.node.auth().sign(&mut call.request);
            let mut reply = self.node.client().send(call).await.ok()?;
            reply.msgpack(MAX_RESPONSE).await.ok()
        })
    }
}
