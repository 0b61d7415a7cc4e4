//! State of VMs that read the platform, for one whose own reads fail.
//!
//! If the platform rejects a zone's reader, or its hubs, the other VMs of the zone needn't all read the platform.

use {
    super::{
        Node,
        state_sync::{apply_response, request_state},
    },
    clock::Instant,
    std::{net::SocketAddr, time::Duration},
    types::Incarnation,
};

/// Number of VMs that are asked for their state in one round.
const MAX_ASKED: usize = 2;
/// Pause after a round without a fresh response: in an outage no VM has a fresh state.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The VM whose state this one uses while its own reads of the platform fail, so that the VMs that follow it needn't
/// all read the platform themselves.
#[derive(Debug, Default)]
pub(super) struct StateSource {
    /// Address, and the position of its last response.
    source: Option<(SocketAddr, (Incarnation, u64))>,
    /// When VMs are asked again.
    retry_at: Instant,
}

impl StateSource {
    /// Applies the state of the first VM that has read the platform recently.
    pub(super) async fn refresh(&mut self, node: &Node) {
        let now = node.clock.now();
        if now < self.retry_at {
            return;
        }
        let sources = node.peers.lock().state_sources(now);
        let control = |a: SocketAddr| SocketAddr::new(a.ip(), node.settings.control.port());
        let mut addrs: Vec<_> = sources.into_iter().map(control).collect();
        fastrand::shuffle(&mut addrs);
        addrs.sort_by_key(|addr| self.source.is_none_or(|(source, _)| source != *addr));
        for addr in addrs.into_iter().take(MAX_ASKED) {
            let since = self.source.filter(|(source, _)| *source == addr);
            let since = since.map(|(_, at)| at);
            match request_state(node, addr, since, false).await {
                Ok(response) if response.is_fresh() => {
                    if since.is_none() {
                        log::info!(source:% = addr; "platform not readable, using the state of another VM");
                    }
                    self.source = Some((addr, (response.inc, response.next)));
                    node.freshness
                        .lock()
                        .mark_received(node.clock.now(), response.ages);
                    apply_response(node, response);
                    return;
                }
                Ok(response) => {
                    log::debug!(source:% = addr, ages:? = response.ages; "state of another VM is stale");
                }
                Err(cause) => {
                    log::debug!(source:% = addr, cause = cause.as_str(); "no state from another VM");
                }
            }
        }
        self.source = None;
        self.retry_at = node.clock.now() + RETRY_PAUSE;
    }
}
