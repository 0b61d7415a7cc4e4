//! Outboxes for messages to other entries. Messages are sent in batches, one batch at a time per
//! VM.

use {
    async_channel::{Receiver, Sender, unbounded},
    async_executor::Executor,
    mesh::{CallFailure, IncarnationStatus, LinkMsg, MeshNode},
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        sync::{Arc, OnceLock, Weak},
    },
    types::VmId,
};

/// Most messages in one batch.
const MAX_BATCH: usize = 256;

/// Queues messages for other entries.
pub(crate) trait PeerSink: Send + Sync {
    /// Queues `msg` for delivery to `to`. Returns at once.
    fn queue(&self, to: &VmId, msg: LinkMsg);
}

/// Is notified of failed deliveries and of restarted processes.
pub(crate) trait DeliveryObserver: Send + Sync {
    /// Called with messages that may not have arrived.
    fn undelivered(&self, to: &VmId, msgs: &[LinkMsg]);

    /// Called when the VM's process has restarted and lost its state.
    fn restarted(&self, vm: &VmId);
}

/// One outbox for each VM.
pub(crate) struct Outboxes {
    node: Arc<MeshNode>,
    ex: Arc<Executor<'static>>,
    by_vm: Mutex<BTreeMap<VmId, Sender<LinkMsg>>>,
    observer: OnceLock<Weak<dyn DeliveryObserver>>,
}

impl Outboxes {
    pub(crate) fn new(node: Arc<MeshNode>, ex: Arc<Executor<'static>>) -> Arc<Self> {
        Arc::new(Self {
            node,
            ex,
            by_vm: Mutex::default(),
            observer: OnceLock::new(),
        })
    }

    /// Sets the observer of deliveries. Only the first call has an effect.
    pub(crate) fn set_observer(&self, observer: Weak<dyn DeliveryObserver>) {
        let _ = self.observer.set(observer);
    }

    fn observer(&self) -> Option<Arc<dyn DeliveryObserver>> {
        self.observer.get()?.upgrade()
    }

    /// Drops the outboxes of VMs that are no longer listed. Their tasks end with their channels.
    pub(crate) fn retain(&self, listed: impl Fn(&VmId) -> bool) {
        self.by_vm.lock().retain(|vm, _| listed(vm));
    }
}

impl PeerSink for Arc<Outboxes> {
    fn queue(&self, to: &VmId, msg: LinkMsg) {
        let mut by_vm = self.by_vm.lock();
        let sender = by_vm.entry(to.clone()).or_insert_with(|| {
            let (sender, receiver) = unbounded();
            self.ex
                .spawn(deliver(self.clone(), to.clone(), receiver))
                .detach();
            sender
        });
        let _ = sender.try_send(msg);
    }
}

async fn deliver(outboxes: Arc<Outboxes>, to: VmId, receiver: Receiver<LinkMsg>) {
    while let Ok(first) = receiver.recv().await {
        let mut batch = vec![first];
        drain_into(&mut batch, &receiver, MAX_BATCH);
        match send_with_retry(&outboxes, &to, &batch).await {
            Ok(IncarnationStatus::New) => {
                if let Some(observer) = outboxes.observer() {
                    observer.restarted(&to);
                }
            }
            Ok(IncarnationStatus::Current | IncarnationStatus::Stale) => {}
            Err(_) => {
                drain_into(&mut batch, &receiver, usize::MAX);
                if let Some(observer) = outboxes.observer() {
                    observer.undelivered(&to, &batch);
                }
            }
        }
    }
}

async fn send_with_retry(
    outboxes: &Outboxes,
    to: &VmId,
    batch: &[LinkMsg],
) -> Result<IncarnationStatus, CallFailure> {
    let first = outboxes.node.send_batch(to, batch).await;
    match first {
        // A reused connection that the peer is closing fails at once; a second attempt opens a new
        // one.
        Err(CallFailure::Immediate) => outboxes.node.send_batch(to, batch).await,
        Ok(_) | Err(CallFailure::TimedOut) => first,
    }
}

fn drain_into(batch: &mut Vec<LinkMsg>, receiver: &Receiver<LinkMsg>, max: usize) {
    while batch.len() < max {
        let Ok(msg) = receiver.try_recv() else { return };
        batch.push(msg);
    }
}
