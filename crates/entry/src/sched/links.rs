//! Outboxes towards other entries: messages are sent in batches, one batch at a time for each VM.

use {
    async_channel::{Receiver, Sender, unbounded},
    async_executor::Executor,
    mesh::{CallFailure, IncarnationStatus, LinkMsg, Node},
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
pub(crate) trait Post: Send + Sync {
    /// Queues a message.
    fn post(&self, to: &VmId, msg: LinkMsg);
}

/// Learns of messages that did not arrive, and of processes that were started anew.
pub(crate) trait Watch: Send + Sync {
    /// These messages may not have arrived.
    fn undelivered(&self, to: &VmId, msgs: &[LinkMsg]);

    /// The VM's process has lost what it knew.
    fn restarted(&self, vm: &VmId);
}

/// Outboxes by VM.
pub(crate) struct Links {
    node: Arc<Node>,
    ex: Arc<Executor<'static>>,
    boxes: Mutex<BTreeMap<VmId, Sender<LinkMsg>>>,
    watch: OnceLock<Weak<dyn Watch>>,
}

impl Links {
    pub(crate) fn new(node: Arc<Node>, ex: Arc<Executor<'static>>) -> Arc<Self> {
        Arc::new(Self {
            node,
            ex,
            boxes: Mutex::default(),
            watch: OnceLock::new(),
        })
    }

    /// Sets who learns of failures. Only the first call counts.
    pub(crate) fn set_watch(&self, watch: Weak<dyn Watch>) {
        let _ = self.watch.set(watch);
    }

    fn watch(&self) -> Option<Arc<dyn Watch>> {
        self.watch.get()?.upgrade()
    }

    /// Drops the outboxes of VMs that are no longer listed; their tasks end with their channels.
    pub(crate) fn retain(&self, listed: impl Fn(&VmId) -> bool) {
        self.boxes.lock().retain(|vm, _| listed(vm));
    }
}

impl Post for Arc<Links> {
    fn post(&self, to: &VmId, msg: LinkMsg) {
        let mut boxes = self.boxes.lock();
        let sender = boxes.entry(to.clone()).or_insert_with(|| {
            let (sender, receiver) = unbounded();
            self.ex
                .spawn(deliver(self.clone(), to.clone(), receiver))
                .detach();
            sender
        });
        let _ = sender.try_send(msg);
    }
}

async fn deliver(links: Arc<Links>, to: VmId, receiver: Receiver<LinkMsg>) {
    while let Ok(first) = receiver.recv().await {
        let mut batch = vec![first];
        fill(&mut batch, &receiver, MAX_BATCH);
        match send(&links, &to, &batch).await {
            Ok(IncarnationStatus::New) => {
                if let Some(watch) = links.watch() {
                    watch.restarted(&to);
                }
            }
            Ok(IncarnationStatus::Current | IncarnationStatus::Stale) => {}
            Err(_) => {
                fill(&mut batch, &receiver, usize::MAX);
                if let Some(watch) = links.watch() {
                    watch.undelivered(&to, &batch);
                }
            }
        }
    }
}

async fn send(
    links: &Links,
    to: &VmId,
    batch: &[LinkMsg],
) -> Result<IncarnationStatus, CallFailure> {
    let first = links.node.send_batch(to, batch).await;
    match first {
        // A connection that was about to close fails at once; a new one may not.
        Err(CallFailure::Immediate) => links.node.send_batch(to, batch).await,
        Ok(_) | Err(CallFailure::TimedOut) => first,
    }
}

fn fill(batch: &mut Vec<LinkMsg>, receiver: &Receiver<LinkMsg>, most: usize) {
    while batch.len() < most {
        let Ok(msg) = receiver.try_recv() else { return };
        batch.push(msg);
    }
}
