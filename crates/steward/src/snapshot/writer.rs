//! Writes configuration snapshots while this process holds the snapshots lease.

use {
    super::record::Snapshot,
    clock::{Instant, SharedClock},
    conf::Config,
    coord::LeaseHandle,
    futures_lite::FutureExt,
    mesh::MeshNode,
    ports::{Log, Stream},
    std::{sync::Arc, time::Duration},
    types::Version,
    wire::StopSignal,
};

/// Number of versions after which a snapshot is written before the interval has passed.
const MAX_VERSIONS: u64 = 64;
/// Interval between checks of the configuration's version.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Writes snapshots of the configuration to the log.
pub(crate) struct SnapshotWriter {
    node: Arc<MeshNode>,
    clock: SharedClock,
    log: Arc<dyn Log>,
    lease: Arc<dyn LeaseHandle>,
    /// Longest time between snapshots; must be well below the log's retention.
    interval: Duration,
    stop: StopSignal,
}

impl SnapshotWriter {
    pub(crate) fn new(
        node: Arc<MeshNode>,
        log: Arc<dyn Log>,
        lease: Arc<dyn LeaseHandle>,
        interval: Duration,
        stop: StopSignal,
    ) -> Self {
        let clock = node.clock().clone();
        Self {
            node,
            clock,
            log,
            lease,
            interval,
            stop,
        }
    }

    /// Writes snapshots until the process stops. No write is in flight when it returns.
    pub(crate) async fn run(self) {
        let mut last: Option<(Version, Instant)> = None;
        while !self.stop.is_set() {
            let config = self.node.store().config().clone();
            if self.lease.epoch().is_none() {
                last = None;
            } else if self.is_due(&config, last) && self.write(&config).await {
                last = Some((config.version(), self.clock.now()));
            }
            self.clock.sleep(CHECK_INTERVAL).or(self.stop.wait()).await;
        }
    }

    fn is_due(&self, config: &Config, last: Option<(Version, Instant)>) -> bool {
        let Some((version, at)) = last else {
            return config.version() > Version(0);
        };
        config.version().0 >= version.0 + MAX_VERSIONS
            || self.clock.now().since(at) >= self.interval
    }

    /// Appends a snapshot, if the lease is held; `true` when it was acknowledged.
    async fn write(&self, config: &Config) -> bool {
        let Ok(data) = serde_json::to_string(&Snapshot::new(config)) else {
            return false;
        };
        if self.lease.epoch().is_none() {
            return false;
        }
        let appended = self.log.append(Stream::Snapshots, &data).await;
        if let Err(e) = &appended {
            log::warn!(error:% = e; "cannot write a snapshot");
        }
        appended.is_ok()
    }
}
