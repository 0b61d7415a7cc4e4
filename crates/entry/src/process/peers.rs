//! Keeps the store even with other entries.

use {
    super::App,
    platform::VmState,
    std::{net::SocketAddr, sync::Arc},
};

impl App {
    /// Exchanges with one peer after the other, in random order, until the process stops.
    pub(super) async fn gossip(self: Arc<Self>) {
        loop {
            if let Some(peer) = self.random_peer() {
                self.node.exchange(peer).await;
            }
            self.clock.sleep(self.settings.gossip()).await;
        }
    }

    fn random_peer(&self) -> Option<SocketAddr> {
        let peers = self.peers();
        let at = fastrand::usize(..peers.len().max(1));
        peers.get(at).copied()
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let store = self.node.store();
        let others = store.vms().vms.iter().filter(|v| v.vm != self.settings.vm);
        let listed: Vec<_> = others
            .filter(|v| v.state == VmState::Live)
            .map(|v| v.addr)
            .collect();
        if listed.is_empty() {
            self.settings.seeds.clone()
        } else {
            listed
        }
    }
}
