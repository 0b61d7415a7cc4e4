//! The process: follows the platform and keeps its VM's entry in date.

use {
    super::StewardSettings,
    clock::SharedClock,
    coord::{Batch, Follower},
    daemon::Process,
    eyre::Result,
    futures_lite::FutureExt,
    mesh::{Authenticator, ConfigRecord, Delta, Node},
    platform::{Directory, HttpPlatform, Stream},
    std::sync::Arc,
    types::Incarnation,
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
        let started = clock.unix().as_nanos();
        let incarnation = Incarnation(u64::try_from(started).unwrap_or(u64::MAX));
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
        loop {
            follower.seek(self.node.store().config().version().0);
            match follower.batch().await {
                Ok(Batch::Records(records)) => {
                    let record = |r: platform::Record| ConfigRecord {
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
                    self.clock.sleep(self.settings.poll()).await;
                }
                Err(e) => log::warn!(error:% = e; "cannot read the configuration stream"),
            }
        }
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

/// Runs the steward daemon until it is told to stop.
pub async fn run_steward(process: Process, settings: StewardSettings) -> Result<()> {
    let steward = Steward::new(&process, settings);
    let tasks = [
        process.ex.spawn(steward.clone().follow_config()),
        process.ex.spawn(steward.clone().poll_lists()),
        process.ex.spawn(steward.clone().exchange()),
    ];
    process.ready.set(true);
    process.stop.wait().await;
    drop(tasks);
    Ok(())
}
