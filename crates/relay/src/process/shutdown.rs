//! Graceful shutdown.

use {
    super::{Node, count_store::flush_counts},
    crate::adapter::SharedLog,
    clock::{Instant, timeout},
    std::time::Duration,
};

/// Time until the platform sends no new connections: it checks readiness once a second, and two
/// failures count.
const UNREADY_TIME: Duration = Duration::from_millis(2_600);
/// Share of the grace time after which requests that are still open are cut off.
const GRACE_SHARE: f64 = 0.95;
/// Interval between two checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time without open connections before the process ends.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Timeout for storing the last usage counts.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(800);

/// Reports not ready, finishes open requests within the grace time, stores the last usage counts,
/// and returns.
pub(super) async fn shut_down(node: &Node, log: &dyn SharedLog) {
    let started = node.clock.now();
    let grace = node.settings.bounds.stop_grace.mul_f64(GRACE_SHARE);
    let deadline = started + grace;
    node.lifecycle.begin_stop(started, deadline);
    log::info!(
        connections = node.lifecycle.connections(), requests = node.lifecycle.requests();
        "shutdown started, no longer ready"
    );
    node.clock.sleep(UNREADY_TIME.min(grace)).await;
    node.lifecycle.close_idle();
    wait_until_idle(node, deadline - FLUSH_TIMEOUT).await;
    let flushed = timeout(&*node.clock, FLUSH_TIMEOUT, flush_counts(node, log)).await;
    if flushed.is_err() {
        log::warn!("last usage counts not stored before the timeout");
    }
    wait_until_idle(node, deadline).await;
    log::info!(
        connections = node.lifecycle.connections(), requests = node.lifecycle.requests();
        "drained"
    );
}

/// Waits until no connection has been open for `QUIET_TIME`, at most until `deadline`.
async fn wait_until_idle(node: &Node, deadline: Instant) {
    let mut idle_since = node.clock.now();
    loop {
        let now = node.clock.now();
        if node.lifecycle.connections() > 0 {
            idle_since = now;
        }
        if now.since(idle_since) >= QUIET_TIME || now >= deadline {
            return;
        }
        node.clock.sleep(POLL_INTERVAL).await;
    }
}
