//! The planned stop.

use {
    super::{Node, duty_worker::flush_tallies},
    crate::adapter::SharedLog,
    clock::{Stamp, within},
    std::time::Duration,
};

/// Time until no new connections are sent here: readiness is asked for once a second, and two
/// misses count.
const UNREADY_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace time after which requests that are still open are cut.
const GRACE_SHARE: f64 = 0.95;
/// Time between two looks at what is still open.
const POLL: Duration = Duration::from_millis(50);
/// Time without open connections before the end.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Time for the last counts to be stored.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves what is open, then returns.
pub(super) async fn shut_down(node: &Node, log: &dyn SharedLog) {
    let started = node.clock.now();
    let grace = node.settings.bounds.stop_grace.mul_f64(GRACE_SHARE);
    let deadline = started + grace;
    node.lifecycle.begin_stop(started, deadline);
    log::info!(
        connections = node.lifecycle.connections(), requests = node.lifecycle.requests();
        "stopping: not ready any more"
    );
    node.clock.sleep(UNREADY_TIME.min(grace)).await;
    node.lifecycle.close_idle();
    wait_until_idle(node, deadline - FLUSH_TIMEOUT).await;
    let flushed = within(&*node.clock, FLUSH_TIMEOUT, flush_tallies(node, log)).await;
    if flushed.is_err() {
        log::warn!("last usage counts not stored in time");
    }
    wait_until_idle(node, deadline).await;
    log::info!(
        connections = node.lifecycle.connections(), requests = node.lifecycle.requests();
        "drained"
    );
}

/// Waits until no connection has been open for a while, at most until `ends`.
async fn wait_until_idle(node: &Node, deadline: Stamp) {
    let mut idle_since = node.clock.now();
    loop {
        let now = node.clock.now();
        if node.lifecycle.connections() > 0 {
            idle_since = now;
        }
        if now.since(idle_since) >= QUIET_TIME || now >= deadline {
            return;
        }
        node.clock.sleep(POLL).await;
    }
}
