//! Tasks of the process: follows the platform, keeps the entry of this VM up to date, and runs what
//! acts under leases.

use {
    super::{
        StewardSettings,
        leases::{contended_leases, orders_lease, snapshots_lease, usage_lease},
        revoked::publish_revoked,
    },
    crate::{
        orders::OrderController,
        snapshot::{SnapshotWriter, newest_snapshot},
    },
    clock::SharedClock,
    coord::{Follower, Holder, LeaseManager, ReadOutcome},
    daemon::Process,
    eyre::{Result, eyre},
    futures_lite::FutureExt,
    mesh::{Authenticator, ConfigRecord, Delta, MeshNode},
    ports::{Directory, HttpPlatform, Stream},
    std::sync::Arc,
    usage::{Sealer, SealerContext, ZoneCollector},
    wire::Client,
};

/// State shared by the tasks of the process.
struct Steward {
    settings: StewardSettings,
    clock: SharedClock,
    node: Arc<MeshNode>,
    platform: Arc<HttpPlatform>,
}

impl Steward {
    fn new(process: &Process, settings: StewardSettings) -> Arc<Self> {
        let clock = process.clock.clone();
        let client = Client::new(clock.clone());
        let incarnation = process.incarnation();
        let auth = Authenticator::new(settings.secrets.clone());
        let vm = settings.vm.clone();
        let node = MeshNode::new(vm, incarnation, auth, client.clone(), clock.clone());
        let platform = Arc::new(HttpPlatform::new(client, settings.platform));
        Arc::new(Self {
            settings,
            clock,
            node,
            platform,
        })
    }

    /// Applies the configuration records of the log until it is dropped.
    async fn follow_config(self: Arc<Self>) {
        let log = self.platform.clone();
        let mut follower = Follower::new(log, self.clock.clone(), Stream::Config, 0);
        self.load_snapshot().await;
        loop {
            follower.seek(self.node.store().config().version().0);
            match follower.read_next().await {
                Ok(ReadOutcome::Records(records)) => {
                    self.node.record_log_contact();
                    let record = |r: ports::Record| ConfigRecord {
                        offset: r.offset,
                        data: r.data,
                    };
                    let records = records.into_iter().map(record).collect();
                    self.node.apply(Delta {
                        records,
                        ..Delta::default()
                    });
                }
                Ok(ReadOutcome::Lost(first)) => {
                    log::warn!(first = first; "configuration records lost to retention");
                    if !self.load_snapshot().await {
                        self.clock.sleep(self.settings.poll()).await;
                    }
                }
                Err(e) => log::warn!(error:% = e; "cannot read the configuration stream"),
            }
        }
    }

    /// Applies the newest snapshot; `true` if it is newer than the known configuration.
    async fn load_snapshot(&self) -> bool {
        match newest_snapshot(&*self.platform).await {
            Ok(Some(config)) => {
                let version = config.version().0;
                let delta = Delta {
                    config: Some(config),
                    ..Delta::default()
                };
                let newer = self.node.apply(delta).config;
                if newer {
                    log::info!(version = version; "configuration loaded from a snapshot");
                }
                newer
            }
            Ok(None) => false,
            Err(e) => {
                log::warn!(error:% = e; "cannot read snapshots");
                false
            }
        }
    }

    /// Creates the manager that contends for this steward's leases.
    fn lease_manager(&self) -> LeaseManager {
        let holder = Holder {
            vm: self.settings.vm.clone(),
            incarnation: self.node.incarnation(),
        };
        let timing = self.settings.leases.timing();
        let leases = contended_leases(&self.settings);
        LeaseManager::new(
            self.platform.clone(),
            self.clock.clone(),
            &holder,
            timing,
            leases,
        )
    }

    /// Creates what orders endpoints and writes snapshots, each under its lease.
    fn leased_workers(
        &self,
        process: &Process,
        manager: &LeaseManager,
    ) -> Result<(Arc<OrderController>, SnapshotWriter)> {
        let handle = |lease| {
            let handle = manager.handle(&lease);
            handle.ok_or_else(|| eyre!("no contender for the lease {lease}"))
        };
        let orders = OrderController::new(
            self.settings.clone(),
            self.node.clone(),
            handle(orders_lease(&self.settings.zone))?,
            self.platform.clone(),
            process.stop.clone(),
        );
        let snapshots = SnapshotWriter::new(
            self.node.clone(),
            self.platform.clone(),
            handle(snapshots_lease())?,
            self.settings.snapshot(),
            process.stop.clone(),
        );
        Ok((orders, snapshots))
    }

    /// Publishes on the log the key withdrawals that reached the mesh without the log.
    fn publish_revoked(&self) -> impl Future<Output = ()> + Send + 'static {
        publish_revoked(self.node.clone(), self.platform.clone(), self.clock.clone())
    }

    /// Creates what seals and reports the zone's usage windows under the usage lease.
    fn sealer(&self, manager: &LeaseManager) -> Result<Sealer> {
        let zone = self.settings.zone.clone();
        let lease = usage_lease(&zone);
        let handle = manager.handle(&lease);
        let entries = ZoneCollector::new(self.node.clone(), zone.clone());
        Ok(Sealer::new(SealerContext {
            vm: self.settings.vm.clone(),
            zone,
            log: self.platform.clone(),
            reports: self.platform.clone(),
            lease: handle.ok_or_else(|| eyre!("no contender for the lease {lease}"))?,
            entries: Arc::new(entries),
            clock: self.clock.clone(),
            settings: self.settings.usage,
        }))
    }

    /// Polls the platform's lists of VMs and endpoints until it is dropped.
    async fn poll_lists(self: Arc<Self>) {
        loop {
            let vms = self.platform.vms().await.ok();
            let zones = self.platform.endpoints().await.unwrap_or_default();
            self.node.apply(Delta {
                vms,
                zones,
                ..Delta::default()
            });
            self.clock.sleep(self.settings.poll()).await;
        }
    }

    /// Exchanges state with the entry after each change, and at intervals otherwise.
    async fn exchange(self: Arc<Self>) {
        loop {
            let changed = self.node.changed().listen();
            self.node.exchange(self.settings.entry).await;
            changed.or(self.clock.sleep(self.settings.exchange())).await;
        }
    }
}

/// Runs the steward daemon until it is told to stop. On a stop, writes under leases finish first,
/// then the leases are released, then the other tasks end.
pub async fn run_steward(process: Process, settings: StewardSettings) -> Result<()> {
    let steward = Steward::new(&process, settings);
    let manager = Arc::new(steward.lease_manager());
    let (orders, snapshots) = steward.leased_workers(&process, &manager)?;
    let sealer = steward.sealer(&manager)?;
    let running = manager.clone();
    let tasks = [
        process.ex.spawn(async move { running.run().await }),
        process.ex.spawn(steward.clone().follow_config()),
        process.ex.spawn(steward.clone().poll_lists()),
        process.ex.spawn(steward.clone().exchange()),
        process.ex.spawn(orders.clone().follow_stream()),
        process.ex.spawn(steward.publish_revoked()),
    ];
    let leased_tasks = [
        process.ex.spawn(orders.run()),
        process.ex.spawn(snapshots.run()),
        process.ex.spawn(sealer.run(process.stop.clone())),
    ];
    process.ready.set(true);
    process.stop.wait().await;
    for task in leased_tasks {
        task.await;
    }
    manager.release().await;
    drop(tasks);
    Ok(())
}
