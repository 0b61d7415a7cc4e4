//! Outboxes towards other entries: messages are sent in batches, one batch at a time for each VM.

use {
    async_channel::{Receiver, Sender, unbounded},
    async_executor::Executor,
    mesh::{Heard, LinkMsg, Missed, Node},
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        sync::{Arc, OnceLock, Weak},
    },
    types::VmId,
};

/// Messages of one batch at most.
const MAX_BATCH: usize = 256;

/// Sends messages to other entries.
pub(crate) trait PeerSink: Send + Sync {
    /// Queues a message.
    fn queue(&self, to: &VmId, msg: LinkMsg);
}

/// Learns of messages that did not arrive, and of processes that were started anew.
pub(crate) trait DeliveryObserver: Send + Sync {
    /// These messages may not have arrived.
    fn undelivered(&self, to: &VmId, msgs: &[LinkMsg]);

    /// The VM's process has lost what it knew.
    fn restarted(&self, vm: &VmId);
}

/// Outboxes by VM.
pub(crate) struct Outboxes {
    node: Arc<Node>,
    ex: Arc<Executor<'static>>,
    by_vm: Mutex<BTreeMap<VmId, Sender<LinkMsg>>>,
    observer: OnceLock<Weak<dyn DeliveryObserver>>,
}

impl Outboxes {
    pub(crate) fn new(node: Arc<Node>, ex: Arc<Executor<'static>>) -> Arc<Self> {
        Arc::new(Self {
            node,
            ex,
            by_vm: Mutex::default(),
            observer: OnceLock::new(),
        })
    }

    /// Sets who learns of failures. Only the first call counts.
    pub(crate) fn set_observer(&self, observer: Weak<dyn DeliveryObserver>) {
        let _ = self.observer.set(observer);
    }

    fn observer(&self) -> Option<Arc<dyn DeliveryObserver>> {
        self.observer.get()?.upgrade()
    }

    /// Drops the outboxes of VMs that are no longer listed; their tasks end with their channels.
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
            Ok(Heard::Started) => {
                if let Some(observer) = outboxes.observer() {
                    observer.restarted(&to);
                }
            }
            Ok(Heard::Same | Heard::Stale) => {}
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
) -> Result<Heard, Missed> {
    let first = outboxes.node.send_batch(to, batch).await;
    match first {
        // A connection that was about to close fails at once; a new one may not.
        Err(Missed::Failed) => outboxes.node.send_batch(to, batch).await,
        Ok(_) | Err(Missed::TimedOut) => first,
    }
}

fn drain_into(batch: &mut Vec<LinkMsg>, receiver: &Receiver<LinkMsg>, max: usize) {
    while batch.len() < max {
        let Ok(msg) = receiver.try_recv() else { return };
        batch.push(msg);
    }
}
