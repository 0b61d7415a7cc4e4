//! Stores the usage counts of VMs on the platform.

use {
    super::Node,
    crate::adapter::{FeedKind, SharedLog, Topic},
    std::{sync::Arc, time::Duration},
};

/// Interval at which this VM stores usage counts.
const STORE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time after the platform's return until counts are stored again: those of the VMs that read
/// through this one arrive meanwhile.
const SECOND_STORE_DELAY: Duration = Duration::from_millis(600);
/// Interval at which it looks whether the platform is back after counts could not be stored.
const RETURN_POLL: Duration = Duration::from_millis(150);
/// Age of the last read up to which the platform counts as reachable.
const MAX_READ_AGE: Duration = Duration::from_millis(700);
/// Most by which VMs delay their counts after the platform's return, so that they don't all arrive
/// at once.
const RETURN_JITTER: Duration = Duration::from_millis(400);

/// Stores the usage counts of this VM and of the VMs that read through it, until it is dropped.
pub(super) async fn store_counts(node: Arc<Node>, log: Arc<dyn SharedLog>) {
    let mut interval = STORE_INTERVAL;
    loop {
        node.clock.sleep(interval).await;
        interval = STORE_INTERVAL;
        if !node.reads_platform(node.clock.now()) && node.count_backlog.lock().is_empty() {
            continue;
        }
        while !flush_counts(&node, &*log).await {
            wait_for_return(&node).await;
            interval = SECOND_STORE_DELAY;
        }
    }
}

/// Waits until the platform can be read again, and a random time more.
async fn wait_for_return(node: &Node) {
    let failed = node.clock.now();
    loop {
        node.clock.sleep(RETURN_POLL).await;
        let now = node.clock.now();
        let age = node.freshness.lock().age(now, FeedKind::Endpoints);
        let read_since = now.since(failed) > age;
        if (read_since && age < MAX_READ_AGE) || now.since(failed) >= STORE_INTERVAL {
            break;
        }
    }
    node.clock
        .sleep(RETURN_JITTER.mul_f64(fastrand::f64()))
        .await;
}

/// Stores the usage counts that changed since the last call; false if they have to be stored again.
pub(super) async fn flush_counts(node: &Node, log: &dyn SharedLog) -> bool {
    node.note_count_keeper(node.incarnation);
    let records = {
        let own = node.take_counts();
        let mut backlog = node.count_backlog.lock();
        own.into_iter().for_each(|record| backlog.add(record));
        backlog.take()
    };
    if records.is_empty() {
        return true;
    }
    let Ok(bytes) = rmp_serde::to_vec(&records) else {
        log::error!("cannot encode usage counts");
        return true;
    };
    if let Err(e) = log.append(Topic::Usage, &bytes, None).await {
        log::warn!(error:% = e; "cannot store usage counts");
        // Counts are cumulative, so storing them twice changes nothing.
        let mut backlog = node.count_backlog.lock();
        records.into_iter().for_each(|record| backlog.add(record));
        return false;
    }
    true
}
