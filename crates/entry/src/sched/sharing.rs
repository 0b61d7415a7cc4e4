//! Wires the parts by which the entries of an availability zone share its endpoints.

use {
    super::{
        Dispatcher, LeaseClient, LeaseServer, Outboxes, PeerSink, Scheduler,
        outbox::DeliveryObserver,
    },
    crate::version::View,
    async_executor::Executor,
    clock::SharedClock,
    mesh::{Headroom, LinkMsg, MeshNode},
    serde::Deserialize,
    std::sync::{Arc, Weak},
    types::{VmId, ZoneId},
};

/// How the entries of an availability zone share its endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SharingMode {
    /// Each entry schedules all endpoints by itself, without knowledge of the others. This is the
    /// baseline for comparisons.
    Alone,
    /// One entry, the home VM, schedules each model and leases slots to the others.
    #[default]
    Home,
}

/// Client and server side of slot leases, with the outboxes that connect them to other entries.
pub(crate) struct SlotSharing {
    zone: ZoneId,
    node: Arc<MeshNode>,
    scheduler: Arc<Scheduler>,
    outboxes: Arc<Outboxes>,
    server: Arc<LeaseServer>,
    client: Arc<LeaseClient>,
}

impl SlotSharing {
    pub(crate) fn new(
        zone: ZoneId,
        node: Arc<MeshNode>,
        scheduler: Arc<Scheduler>,
        ex: Arc<Executor<'static>>,
        clock: SharedClock,
    ) -> Self {
        let outboxes = Outboxes::new(node.clone(), ex.clone());
        let sink: Arc<dyn PeerSink> = Arc::new(outboxes.clone());
        let server = LeaseServer::new(
            node.clone(),
            scheduler.clone(),
            sink.clone(),
            ex,
            clock.clone(),
        );
        let client = LeaseClient::new(
            zone.clone(),
            node.clone(),
            scheduler.clone(),
            server.clone(),
            sink,
            clock,
        );
        let observer: Arc<dyn DeliveryObserver> = client.clone();
        let observer: Weak<dyn DeliveryObserver> = Arc::downgrade(&observer);
        outboxes.set_observer(observer);
        Self {
            zone,
            node,
            scheduler,
            outboxes,
            server,
            client,
        }
    }

    /// The dispatcher that requests acquire their slots from.
    pub(crate) fn dispatcher(&self, mode: SharingMode) -> Arc<dyn Dispatcher> {
        match mode {
            SharingMode::Alone => self.scheduler.clone(),
            SharingMode::Home => Arc::new(self.client.clone()),
        }
    }

    /// Applies the VMs and home rankings of a new view.
    pub(crate) fn update(&self, view: &View) {
        let listed = |vm: &VmId| view.home_rankings.values().flatten().any(|v| v == vm);
        self.outboxes.retain(listed);
        self.client.set_homes(view.home_rankings.clone());
    }

    /// Handles a message from another entry.
    pub(crate) fn handle(&self, from: &VmId, msg: LinkMsg) {
        match msg {
            LinkMsg::Ask(_)
            | LinkMsg::Cancel(_)
            | LinkMsg::Progress(_)
            | LinkMsg::Done(..)
            | LinkMsg::Held(_)
            | LinkMsg::Adopt(_) => self.server.handle(from, msg),
            LinkMsg::Grant(..) | LinkMsg::Refuse(..) | LinkMsg::Moved(_) | LinkMsg::Unknown(_) => {
                self.client.handle(from, msg);
            }
        }
    }

    /// Free slots and waiting requests of the models that this VM is home to.
    pub(crate) fn headroom(&self) -> Vec<Headroom> {
        let all = self.scheduler.headroom(&self.zone);
        all.into_iter()
            .filter(|h| self.client.is_home(&h.serves))
            .collect()
    }

    /// Sends heartbeats to home VMs, and reclaims the slots of silent entries.
    pub(crate) fn heartbeat(&self) {
        let now = self.node.clock().now();
        self.node.headroom().merge(now, self.headroom());
        self.client.send_heartbeats();
        self.server.reclaim_silent();
    }

    /// Tells other entries to request their slots elsewhere, before this process stops.
    pub(crate) fn redirect_waiting(&self) {
        self.server.redirect_waiting();
    }
}
