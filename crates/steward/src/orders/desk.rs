//! The guarded writes: intents, orders, results.

use {
    crate::process::StewardSettings,
    clock::{SharedClock, timeout},
    coord::{Batch, Follower, LeaseHandle},
    event_listener::Event,
    fleet::{OrderLedger, OrderOutcome, OrderRecord},
    futures_lite::FutureExt,
    mesh::{Delta, Node},
    parking_lot::Mutex,
    ports::{Directory, Log, Order, OrderAction, OrderApi, OrderId, PlatformError, Stream},
    std::{sync::Arc, time::Duration},
    types::Epoch,
    wire::StopSignal,
};

/// Longest wait for an own record to be read back.
const READ_BACK: Duration = Duration::from_secs(2);
/// Longest pause after a failed read.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The lease is no longer held, or the process stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Ended;

/// Orders endpoints for this VM's availability zone.
pub(crate) struct Orders {
    pub(super) settings: StewardSettings,
    pub(super) clock: SharedClock,
    pub(super) node: Arc<Node>,
    pub(super) stop: StopSignal,
    lease: Arc<dyn LeaseHandle>,
    log: Arc<dyn Log>,
    ordering: Arc<dyn OrderApi>,
    directory: Arc<dyn Directory>,
    ledger: Mutex<OrderLedger>,
    read: Event,
}

impl Orders {
    /// Orders under `tenure` until `stop`.
    pub(crate) fn new<P: Log + OrderApi + Directory + 'static>(
        settings: StewardSettings,
        node: Arc<Node>,
        lease: Arc<dyn LeaseHandle>,
        platform: Arc<P>,
        stop: StopSignal,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            clock: node.clock().clone(),
            node,
            stop,
            lease,
            log: platform.clone(),
            ordering: platform.clone(),
            directory: platform,
            ledger: Mutex::default(),
            read: Event::new(),
        })
    }

    /// Folds the order stream until it is dropped.
    pub(crate) async fn follow(self: Arc<Self>) {
        let follower = Follower::new(self.log.clone(), self.clock.clone(), Stream::Orders, 0);
        let mut follower = follower.with_max_backoff(MAX_PAUSE);
        loop {
            match follower.next_batch().await {
                Ok(Batch::Records(records)) => {
                    let mut ledger = self.ledger.lock();
                    for record in records {
                        ledger.fold(record.at_ms, &record.data);
                    }
                }
                Ok(Batch::Lost(first)) => follower.seek(first),
                Err(e) => log::warn!(error:% = e; "cannot read the order stream"),
            }
            self.read.notify(usize::MAX);
        }
    }

    /// Fencing number of the lease, if it is held.
    pub(super) fn epoch(&self) -> Option<Epoch> {
        self.lease.epoch()
    }

    /// Checks the lease; to be called last thing before each write.
    pub(super) fn guard(&self, epoch: Epoch) -> Result<(), Ended> {
        if self.stop.is_set() || self.lease.epoch() != Some(epoch) {
            return Err(Ended);
        }
        Ok(())
    }

    /// Waits, but not beyond the process's stop.
    pub(super) async fn pause(&self, span: Duration) {
        self.clock.sleep(span).or(self.stop.wait()).await;
    }

    /// Marks the order stream and reads up to the mark, so that all intents of former holders are known.
    pub(super) async fn take_over(&self, epoch: Epoch) -> Result<(), Ended> {
        let zone = self.settings.zone.clone();
        let mark = OrderRecord::Takeover {
            zone: zone.clone(),
            sender: self.settings.vm.clone(),
            epoch,
        };
        while self.ledger.lock().epoch(&zone) != Some(epoch) {
            self.guard(epoch)?;
            if self.append(&mark).await.is_err() {
                self.pause(self.settings.fleet.round()).await;
            }
            self.wait_for(|ledger| ledger.epoch(&zone) == Some(epoch))
                .await;
        }
        Ok(())
    }

    /// Takes the platform's endpoint list, so that what former holders ordered is counted.
    pub(super) async fn refresh_list(&self, epoch: Epoch) -> Result<(), Ended> {
        loop {
            self.guard(epoch)?;
            if let Ok(zones) = self.directory.endpoints().await {
                self.node.apply(Delta {
                    zones,
                    ..Delta::default()
                });
                return Ok(());
            }
            self.pause(self.settings.fleet.round()).await;
        }
    }

    async fn wait_for(&self, holds: impl Fn(&OrderLedger) -> bool) -> bool {
        let waiting = async {
            loop {
                let read = self.read.listen();
                if holds(&self.ledger.lock()) {
                    return;
                }
                read.await;
            }
        };
        timeout(&*self.clock, READ_BACK, waiting).await.is_ok()
    }

    async fn append(&self, record: &OrderRecord) -> Result<(), PlatformError> {
        let data = serde_json::to_string(record).map_err(|_| PlatformError::InvalidResponse)?;
        let appended = self.log.append(Stream::Orders, &data).await;
        if let Err(e) = &appended {
            log::warn!(error:% = e; "cannot append to the order stream");
        }
        appended.map(|_| ())
    }

    /// Orders of this zone without a result.
    pub(super) fn open(&self) -> Vec<Order> {
        let ledger = self.ledger.lock();
        let own = ledger.open().filter(|o| o.order.zone == self.settings.zone);
        own.map(|o| o.order.clone()).collect()
    }

    /// Puts an intent on the log and reads it back; `false` when it is not there.
    pub(super) async fn intend(&self, epoch: Epoch, action: OrderAction) -> Result<bool, Ended> {
        let order = Order {
            id: OrderId::from_bits(fastrand::u128(..)),
            zone: self.settings.zone.clone(),
            sender: self.settings.vm.clone(),
            epoch,
            action,
        };
        let id = order.id;
        self.guard(epoch)?;
        // After a lost answer the record may be in the log all the same: it is read back either way.
        let _ = self.append(&OrderRecord::Intent(order)).await;
        let known = |ledger: &OrderLedger| ledger.is_open(id) || ledger.is_ended(id);
        Ok(self.wait_for(known).await)
    }

    /// Sends an order whose intent was read back; `None` when its outcome is not known.
    pub(super) async fn send(
        &self,
        epoch: Epoch,
        order: Order,
    ) -> Result<Option<OrderOutcome>, Ended> {
        let own = Order {
            sender: self.settings.vm.clone(),
            epoch,
            ..order
        };
        let flight = self.settings.leases.times().flight;
        self.guard(epoch)?;
        let sent = timeout(&*self.clock, flight, self.ordering.order(&own)).await;
        let outcome = match sent {
            Ok(Ok(())) => Some(OrderOutcome::Met),
            Ok(Err(PlatformError::Refused(_))) => Some(OrderOutcome::Refused),
            Ok(Err(_)) | Err(_) => None,
        };
        log::info!(order:% = own.id, epoch = epoch.0, outcome:? = outcome; "order sent");
        Ok(outcome)
    }

    /// Puts the result of an order on the log; `true` when it was read back.
    pub(super) async fn conclude(
        &self,
        epoch: Epoch,
        id: OrderId,
        outcome: OrderOutcome,
    ) -> Result<bool, Ended> {
        self.guard(epoch)?;
        let _ = self.append(&OrderRecord::Result { id, outcome }).await;
        Ok(self.wait_for(|ledger| ledger.is_ended(id)).await)
    }
}
