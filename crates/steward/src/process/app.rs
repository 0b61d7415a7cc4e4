//! The process: follows the platform and keeps its VM's entry in date.

use {
    super::{
        StewardSettings,
        lease::{contended, orders_lease, snapshots_lease, usage_lease},
        revoked::publish_revoked,
    },
    crate::{
        orders::Orders,
        snapshot::{Snapshots, newest_snapshot},
    },
    clock::SharedClock,
    coord::{Batch, Follower, Holder, LeaseManager},
    daemon::Process,
    eyre::{Result, eyre},
    futures_lite::FutureExt,
    mesh::{Authenticator, ConfigRecord, Delta, Node},
    ports::{Directory, HttpPlatform, Stream},
    std::sync::Arc,
    usage::{Sealer, SealerContext, ZoneCollector},
    wire::Client,
};

struct Steward {
    settings: StewardSettings,
    clock: SharedClock,
    node: Arc<Node>,
    platform: Arc<HttpPlatform>,
}

impl Steward {
    fn new(process: &Process, settings: StewardSettings) -> Arc<Self> {
        let clock = process.clock.clone();
        let client = Client::new(clock.clone());
        let incarnation = process.incarnation();
        let auth = Authenticator::new(settings.secrets.clone());
        let vm = settings.vm.clone();
        let node = Node::new(vm, incarnation, auth, client.clone(), clock.clone());
        let platform = Arc::new(HttpPlatform::new(client, settings.platform));
        Arc::new(Self {
            settings,
            clock,
            node,
            platform,
        })
    }

    /// Takes configuration records from the log.
    async fn follow_config(self: Arc<Self>) {
        let log = self.platform.clone();
        let mut follower = Follower::new(log, self.clock.clone(), Stream::Config, 0);
        self.heal().await;
        loop {
            follower.seek(self.node.store().config().version().0);
            match follower.next_batch().await {
                Ok(Batch::Records(records)) => {
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
                Ok(Batch::Lost(first)) => {
                    log::warn!(first = first; "configuration records lost to retention");
                    if !self.heal().await {
                        self.clock.sleep(self.settings.poll()).await;
                    }
                }
                Err(e) => log::warn!(error:% = e; "cannot read the configuration stream"),
            }
        }
    }

    /// Takes the newest snapshot, if it is newer than what is known.
    async fn heal(&self) -> bool {
        match newest_snapshot(&*self.platform).await {
            Ok(Some(config)) => {
                let version = config.version().0;
                let delta = Delta {
                    config: Some(config),
                    ..Delta::default()
                };
                let newer = self.node.apply(delta).config;
                if newer {
                    log::info!(version = version; "configuration taken from a snapshot");
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

    /// The process that contends for this steward's leases.
    fn lease_manager(&self) -> LeaseManager {
        let holder = Holder {
            vm: self.settings.vm.clone(),
            incarnation: self.node.incarnation(),
        };
        let times = self.settings.leases.times();
        let leases = contended(&self.settings);
        LeaseManager::new(
            self.platform.clone(),
            self.clock.clone(),
            &holder,
            times,
            leases,
        )
    }

    /// What acts under leases.
    fn guarded(
        &self,
        process: &Process,
        manager: &LeaseManager,
    ) -> Result<(Arc<Orders>, Snapshots)> {
        let handle = |lease| {
            let handle = manager.handle(&lease);
            handle.ok_or_else(|| eyre!("no contender for the lease {lease}"))
        };
        let orders = Orders::new(
            self.settings.clone(),
            self.node.clone(),
            handle(orders_lease(&self.settings.zone))?,
            self.platform.clone(),
            process.stop.clone(),
        );
        let snapshots = Snapshots::new(
            self.node.clone(),
            self.platform.clone(),
            handle(snapshots_lease())?,
            self.settings.snapshot(),
            process.stop.clone(),
        );
        Ok((orders, snapshots))
    }

    /// Puts keys that operators withdrew without the log on the log.
    fn publish_revoked(&self) -> impl Future<Output = ()> + Send + 'static {
        publish_revoked(self.node.clone(), self.platform.clone(), self.clock.clone())
    }

    /// What seals and reports the zone's usage windows.
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

    /// Takes the platform's lists.
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

    /// Keeps the entry in date: at once after a change, else at intervals.
    async fn exchange(self: Arc<Self>) {
        loop {
            let changed = self.node.changed().listen();
            self.node.exchange(self.settings.entry).await;
            changed.or(self.clock.sleep(self.settings.exchange())).await;
        }
    }
}

/// Runs the steward daemon until it is told to stop. Writes under leases end before the leases are
/// released, and these before the process.
pub async fn run_steward(process: Process, settings: StewardSettings) -> Result<()> {
    let steward = Steward::new(&process, settings);
    let manager = Arc::new(steward.lease_manager());
    let (orders, snapshots) = steward.guarded(&process, &manager)?;
    let sealer = steward.sealer(&manager)?;
    let running = manager.clone();
    let tasks = [
        process.ex.spawn(async move { running.run().await }),
        process.ex.spawn(steward.clone().follow_config()),
        process.ex.spawn(steward.clone().poll_lists()),
        process.ex.spawn(steward.clone().exchange()),
        process.ex.spawn(orders.clone().follow()),
        process.ex.spawn(steward.publish_revoked()),
    ];
    let guarded = [
        process.ex.spawn(orders.govern()),
        process.ex.spawn(snapshots.run()),
        process.ex.spawn(sealer.run(process.stop.clone())),
    ];
    process.ready.set(true);
    process.stop.wait().await;
    for task in guarded {
        task.await;
    }
    manager.release().await;
    drop(tasks);
    Ok(())
}
