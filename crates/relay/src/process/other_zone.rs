//! State of other zones' hubs, for a hub whose reads of the platform fail.
//!
//! A zone in which the platform rejects the hubs thus costs it a few calls, not those of all VMs.

use {
    super::{
        Node,
        state_sync::{apply_response, request_state},
    },
    std::net::SocketAddr,
    types::Incarnation,
};

/// Number of hubs of other zones that are asked for their state in one round.
const MAX_HUBS_ASKED: usize = 2;

/// The hub of another zone whose state this VM uses while its own reads of the platform fail, so
/// that the VMs of its zone needn't all read the platform themselves.
#[derive(Debug, Default)]
pub(super) struct OtherZone {
    /// Address, and the position of its last response.
    hub: Option<(SocketAddr, (Incarnation, u64))>,
}

impl OtherZone {
    /// Applies the state of the first hub that has read the platform recently.
    pub(super) async fn refresh(&mut self, node: &Node) {
        let hubs = node.peers.lock().other_hubs(node.clock.now());
        let control = |a: SocketAddr| SocketAddr::new(a.ip(), node.settings.control.port());
        let mut addrs: Vec<_> = hubs.into_iter().map(control).collect();
        fastrand::shuffle(&mut addrs);
        addrs.sort_by_key(|addr| self.hub.is_none_or(|(hub, _)| hub != *addr));
        for addr in addrs.into_iter().take(MAX_HUBS_ASKED) {
            let since = self.hub.filter(|(hub, _)| *hub == addr).map(|(_, at)| at);
            match request_state(node, addr, since, false).await {
                Ok(response) if response.is_fresh() => {
                    if since.is_none() {
                        log::info!(hub:% = addr; "platform not readable, using the state of another zone's hub");
                    }
                    self.hub = Some((addr, (response.inc, response.next)));
                    node.freshness
                        .lock()
                        .mark_received(node.clock.now(), response.ages);
                    apply_response(node, response);
                    return;
                }
                Ok(response) => {
                    log::debug!(hub:% = addr, ages:? = response.ages; "state of another zone's hub is stale");
                }
                Err(cause) => {
                    log::debug!(hub:% = addr, cause = cause.as_str(); "no state from another zone's hub");
                }
            }
        }
        self.hub = None;
    }
}
