//! Synchronises the store with other entries.

use {
    super::App,
    futures_lite::FutureExt,
    ports::VmState,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Peers that a change of the store is exchanged with at once.
const CHANGE_FANOUT: usize = 2;
/// Peers that a new process exchanges with before it becomes ready.
const CATCH_UP_PEERS: usize = 3;
/// Interval between attempts to get a first configuration.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);

impl App {
    /// Exchanges with random peers until the process stops: with one at each interval, and with
    /// several after each change of the store, so that changes spread in few rounds.
    pub(super) async fn gossip(self: Arc<Self>) {
        self.catch_up().await;
        loop {
            let changed = self.node.changed().listen();
            let store_changed = async {
                changed.await;
                true
            };
            let interval_elapsed = async {
                self.clock.sleep(self.settings.gossip_interval()).await;
                false
            };
            let fanout = if store_changed.or(interval_elapsed).await {
                CHANGE_FANOUT
            } else {
                1
            };
            self.exchange_with_peers(fanout).await;
        }
    }

    /// Exchanges with several peers before the process becomes ready, so that it doesn't serve an
    /// older version of the configuration than the one in force.
    async fn catch_up(&self) {
        while self.node.store().config().version().0 == 0 {
            let changed = self.node.changed().listen();
            self.exchange_with_peers(1).await;
            changed.or(self.clock.sleep(CATCH_UP_INTERVAL)).await;
        }
        self.exchange_with_peers(CATCH_UP_PEERS).await;
        self.caught_up.store(true, Ordering::SeqCst);
        self.node.changed().notify(usize::MAX);
    }

    async fn exchange_with_peers(&self, count: usize) {
        let mut peers = self.peer_addrs();
        fastrand::shuffle(&mut peers);
        for peer in peers.into_iter().take(count) {
            self.node.exchange(peer).await;
        }
    }

    fn peer_addrs(&self) -> Vec<SocketAddr> {
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
