//! Writes under the orders lease: intents and results on the log, orders to the platform.

use {
    crate::process::StewardSettings,
    clock::{SharedClock, timeout},
    coord::{Follower, LeaseHandle, ReadOutcome},
    event_listener::Event,
    fleet::{OrderLedger, OrderOutcome, OrderRecord},
    futures_lite::FutureExt,
    mesh::{Delta, MeshNode},
    parking_lot::Mutex,
    ports::{Directory, Log, Order, OrderAction, OrderApi, OrderId, PlatformError, Stream},
    std::{sync::Arc, time::Duration},
    types::Epoch,
    wire::StopSignal,
};

/// Longest wait until an own record is read back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest backoff after a failed read.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The work ends, because the lease is no longer held or the process stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Interrupted;

/// Orders endpoints for this VM's availability zone under the orders lease.
pub(crate) struct OrderController {
    pub(super) settings: StewardSettings,
    pub(super) clock: SharedClock,
    pub(super) node: Arc<MeshNode>,
    pub(super) stop: StopSignal,
    lease: Arc<dyn LeaseHandle>,
    log: Arc<dyn Log>,
    ordering: Arc<dyn OrderApi>,
    directory: Arc<dyn Directory>,
    ledger: Mutex<OrderLedger>,
    ledger_changed: Event,
}

impl OrderController {
    /// Creates a controller that orders endpoints while `lease` is held, until `stop` is set.
    pub(crate) fn new<P: Log + OrderApi + Directory + 'static>(
        settings: StewardSettings,
        node: Arc<MeshNode>,
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
            ledger_changed: Event::new(),
        })
    }

    /// Applies the records of the order stream to the ledger until it is dropped.
    pub(crate) async fn follow_stream(self: Arc<Self>) {
        let follower = Follower::new(self.log.clone(), self.clock.clone(), Stream::Orders, 0);
        let mut follower = follower.with_max_backoff(MAX_BACKOFF);
        loop {
            match follower.read_next().await {
                Ok(ReadOutcome::Records(records)) => {
                    let mut ledger = self.ledger.lock();
                    for record in records {
                        ledger.fold(record.at_ms, &record.data);
                    }
                }
                Ok(ReadOutcome::Lost(first)) => follower.seek(first),
                Err(e) => log::warn!(error:% = e; "cannot read the order stream"),
            }
            self.ledger_changed.notify(usize::MAX);
        }
    }

    /// Returns the fencing token of the lease, if it is held.
    pub(super) fn epoch(&self) -> Option<Epoch> {
        self.lease.epoch()
    }

    /// Checks that the lease is still held with fencing token `epoch`. Must be called right before
    /// each write.
    pub(super) fn check_lease(&self, epoch: Epoch) -> Result<(), Interrupted> {
        if self.stop.is_set() || self.lease.epoch() != Some(epoch) {
            return Err(Interrupted);
        }
        Ok(())
    }

    /// Sleeps for `span`, or until the process is told to stop.
    pub(super) async fn pause(&self, span: Duration) {
        self.clock.sleep(span).or(self.stop.wait()).await;
    }

    /// Appends a takeover record to the order stream and reads up to it, so that all intents of
    /// former holders are known.
    pub(super) async fn take_over(&self, epoch: Epoch) -> Result<(), Interrupted> {
        let zone = self.settings.zone.clone();
        let takeover = OrderRecord::Takeover {
            zone: zone.clone(),
            sender: self.settings.vm.clone(),
            epoch,
        };
        while self.ledger.lock().epoch(&zone) != Some(epoch) {
            self.check_lease(epoch)?;
            if self.append(&takeover).await.is_err() {
                self.pause(self.settings.fleet.round()).await;
            }
            self.wait_for(|ledger| ledger.epoch(&zone) == Some(epoch))
                .await;
        }
        Ok(())
    }

    /// Fetches the platform's endpoint list, so that endpoints ordered by former holders are
    /// counted.
    pub(super) async fn refresh_list(&self, epoch: Epoch) -> Result<(), Interrupted> {
        loop {
            self.check_lease(epoch)?;
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

    /// Waits until a condition on the ledger holds; `false` when it does not hold in time.
    async fn wait_for(&self, holds: impl Fn(&OrderLedger) -> bool) -> bool {
        let waiting = async {
            loop {
                let changed = self.ledger_changed.listen();
                if holds(&self.ledger.lock()) {
                    return;
                }
                changed.await;
            }
        };
        timeout(&*self.clock, READ_BACK_TIMEOUT, waiting)
            .await
            .is_ok()
    }

    async fn append(&self, record: &OrderRecord) -> Result<(), PlatformError> {
        let data = serde_json::to_string(record).map_err(|_| PlatformError::InvalidResponse)?;
        let appended = self.log.append(Stream::Orders, &data).await;
        if let Err(e) = &appended {
            log::warn!(error:% = e; "cannot append to the order stream");
        }
        appended.map(|_| ())
    }

    /// Returns the orders of this zone without a result.
    pub(super) fn open_orders(&self) -> Vec<Order> {
        let ledger = self.ledger.lock();
        let zone_orders = ledger.open().filter(|o| o.order.zone == self.settings.zone);
        zone_orders.map(|o| o.order.clone()).collect()
    }

    /// Appends an intent to the log and reads it back; `false` when it is not found there.
    pub(super) async fn record_intent(
        &self,
        epoch: Epoch,
        action: OrderAction,
    ) -> Result<bool, Interrupted> {
        let order = Order {
            id: OrderId::from_bits(fastrand::u128(..)),
            zone: self.settings.zone.clone(),
            sender: self.settings.vm.clone(),
            epoch,
            action,
        };
        let id = order.id;
        self.check_lease(epoch)?;
        // A failed append may have taken effect, so the record is read back either way.
        let _ = self.append(&OrderRecord::Intent(order)).await;
        let is_recorded = |ledger: &OrderLedger| ledger.is_open(id) || ledger.is_ended(id);
        Ok(self.wait_for(is_recorded).await)
    }

    /// Sends an order whose intent was read back; `None` when its outcome is unknown.
    pub(super) async fn send(
        &self,
        epoch: Epoch,
        order: Order,
    ) -> Result<Option<OrderOutcome>, Interrupted> {
        let own_order = Order {
            sender: self.settings.vm.clone(),
            epoch,
            ..order
        };
        let flight = self.settings.leases.timing().flight;
        self.check_lease(epoch)?;
        let sent = timeout(&*self.clock, flight, self.ordering.order(&own_order)).await;
        let outcome = match sent {
            Ok(Ok(())) => Some(OrderOutcome::Met),
            Ok(Err(PlatformError::Refused(_))) => Some(OrderOutcome::Refused),
            Ok(Err(_)) | Err(_) => None,
        };
        log::info!(order:% = own_order.id, epoch = epoch.0, outcome:? = outcome; "order sent");
        Ok(outcome)
    }

    /// Appends the result of an order to the log; `true` when it was read back.
    pub(super) async fn record_result(
        &self,
        epoch: Epoch,
        id: OrderId,
        outcome: OrderOutcome,
    ) -> Result<bool, Interrupted> {
        self.check_lease(epoch)?;
        let _ = self.append(&OrderRecord::Result { id, outcome }).await;
        Ok(self.wait_for(|ledger| ledger.is_ended(id)).await)
    }
}
