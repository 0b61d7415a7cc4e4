//! Leases slots of this availability zone's endpoints to other entries.
//!
//! A request for a slot is decided by the scheduler of the VM that receives it and is never
//! forwarded, so that no forwarding loop can form.

use {
    super::{Attribution, PeerSink, Scheduler, SlotLease, SlotRequest},
    async_executor::{Executor, Task},
    clock::{Instant, SharedClock},
    mesh::{AdoptMsg, AskMsg, LinkMsg, MeshNode, ProgressMsg, TicketNo},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    types::VmId,
};

/// An entry that has sent no message for this long loses its slots.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// A slot that its entry doesn't list is reclaimed once it is this old.
const UNLISTED_GRACE: Duration = Duration::from_millis(1500);

/// Another entry's request.
enum RemoteRequest {
    /// Waits for a slot; dropping the task cancels it.
    Waiting { _task: Task<()> },
    /// Holds a slot.
    Running {
        lease: SlotLease,
        granted_at: Instant,
    },
}

/// The requests of another entry.
#[derive(Default)]
struct PeerState {
    last_heard: Instant,
    tickets: BTreeMap<TicketNo, RemoteRequest>,
}

/// Server side of slot leases. Lock order: `peers` before the scheduler's services. Leases are
/// dropped after the lock is released.
pub(crate) struct LeaseServer {
    node: Arc<MeshNode>,
    scheduler: Arc<Scheduler>,
    sink: Arc<dyn PeerSink>,
    ex: Arc<Executor<'static>>,
    clock: SharedClock,
    peers: Mutex<BTreeMap<VmId, PeerState>>,
}

impl LeaseServer {
    pub(crate) fn new(
        node: Arc<MeshNode>,
        scheduler: Arc<Scheduler>,
        sink: Arc<dyn PeerSink>,
        ex: Arc<Executor<'static>>,
        clock: SharedClock,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            scheduler,
            sink,
            ex,
            clock,
            peers: Mutex::default(),
        })
    }

    /// Handles a message from an entry.
    pub(crate) fn handle(self: &Arc<Self>, from: &VmId, msg: LinkMsg) {
        self.peers
            .lock()
            .entry(from.clone())
            .or_default()
            .last_heard = self.clock.now();
        match msg {
            LinkMsg::Ask(msg) => self.handle_ask(from, msg),
            LinkMsg::Cancel(ticket) => drop(self.remove(from, ticket)),
            LinkMsg::Progress(progress) => self.handle_progress(from, &progress),
            LinkMsg::Done(ticket, outcome) => {
                if let Some(RemoteRequest::Running { lease, .. }) = self.remove(from, ticket) {
                    lease.end(outcome);
                }
            }
            LinkMsg::Held(tickets) => self.reconcile(from, tickets),
            LinkMsg::Adopt(adopt) => self.handle_adopt(from, adopt),
            LinkMsg::Grant(..) | LinkMsg::Refuse(..) | LinkMsg::Moved(_) | LinkMsg::Unknown(_) => {}
        }
    }

    fn handle_ask(self: &Arc<Self>, from: &VmId, msg: AskMsg) {
        let ticket = msg.ticket;
        if self.node.is_leaving() {
            self.sink.queue(from, LinkMsg::Moved(ticket));
            return;
        }
        let mut peers = self.peers.lock();
        let peer = peers.entry(from.clone()).or_default();
        if peer.tickets.contains_key(&ticket) {
            return;
        }
        let (server, vm) = (self.clone(), from.clone());
        let request = to_slot_request(msg, self.clock.now());
        let task = self
            .ex
            .spawn(async move { server.reply_when_decided(vm, ticket, request).await });
        peer.tickets
            .insert(ticket, RemoteRequest::Waiting { _task: task });
    }

    async fn reply_when_decided(self: Arc<Self>, vm: VmId, ticket: TicketNo, request: SlotRequest) {
        let decision = self.scheduler.wait_for_slot(request).await;
        let granted_at = self.clock.now();
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(&vm) else {
            return;
        };
        let Some(waiting) = peer.tickets.remove(&ticket) else {
            return;
        };
        let msg = match decision {
            Ok(lease) => {
                let grant = LinkMsg::Grant(ticket, lease.endpoint.clone(), lease.addr);
                peer.tickets
                    .insert(ticket, RemoteRequest::Running { lease, granted_at });
                grant
            }
            Err(refusal) => LinkMsg::Refuse(ticket, refusal),
        };
        drop(peers);
        self.sink.queue(&vm, msg);
        drop(waiting);
    }

    fn remove(&self, from: &VmId, ticket: TicketNo) -> Option<RemoteRequest> {
        self.peers.lock().get_mut(from)?.tickets.remove(&ticket)
    }

    fn handle_progress(&self, from: &VmId, msg: &ProgressMsg) {
        let peers = self.peers.lock();
        let request = peers.get(from).and_then(|p| p.tickets.get(&msg.ticket));
        if let Some(RemoteRequest::Running { lease, .. }) = request {
            if let Some(first) = msg.first_token {
                lease.record_first_token(first);
            }
            lease.record_progress(msg.tokens, msg.span);
        }
    }

    /// Reclaims slots that an entry no longer lists, and asks it about listed tickets that are
    /// unknown here.
    fn reconcile(&self, from: &VmId, tickets: Vec<TicketNo>) {
        let now = self.clock.now();
        let listed: BTreeSet<TicketNo> = tickets.into_iter().collect();
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(from) else {
            return;
        };
        let unknown: Vec<TicketNo> = listed
            .iter()
            .filter(|t| !peer.tickets.contains_key(t))
            .copied()
            .collect();
        let unlisted: Vec<TicketNo> = peer
            .tickets
            .iter()
            .filter(|(ticket, request)| match request {
                RemoteRequest::Running { granted_at, .. } => {
                    !listed.contains(ticket) && now.since(*granted_at) > UNLISTED_GRACE
                }
                RemoteRequest::Waiting { .. } => false,
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        let reclaimed: Vec<_> = unlisted
            .iter()
            .filter_map(|t| peer.tickets.remove(t))
            .collect();
        drop(peers);
        drop(reclaimed);
        if !unknown.is_empty() {
            self.sink.queue(from, LinkMsg::Unknown(unknown));
        }
    }

    fn handle_adopt(&self, from: &VmId, msg: AdoptMsg) {
        let attribution = Attribution {
            class: msg.class,
            org: msg.org,
            weight: msg.weight,
        };
        let Some(lease) = self
            .scheduler
            .adopt(&msg.serves, &msg.endpoint, attribution)
        else {
            return;
        };
        let granted_at = self.clock.now();
        let mut peers = self.peers.lock();
        let peer = peers.entry(from.clone()).or_default();
        let replaced = peer
            .tickets
            .insert(msg.ticket, RemoteRequest::Running { lease, granted_at });
        drop(peers);
        drop(replaced);
    }

    /// Drops the requests of a VM whose process has restarted.
    pub(crate) fn forget_vm(&self, vm: &VmId) {
        let peer = self.peers.lock().remove(vm);
        drop(peer);
    }

    /// Reclaims slots whose grant was not delivered.
    pub(crate) fn undelivered(&self, to: &VmId, msgs: &[LinkMsg]) {
        for msg in msgs {
            if let LinkMsg::Grant(ticket, ..) = msg {
                drop(self.remove(to, *ticket));
            }
        }
    }

    /// Reclaims the slots of entries that have been silent for [`PEER_TIMEOUT`].
    pub(crate) fn reclaim_silent(&self) {
        let now = self.clock.now();
        let mut silent = Vec::new();
        let mut peers = self.peers.lock();
        peers.retain(|vm, peer| {
            let keep = now.since(peer.last_heard) <= PEER_TIMEOUT;
            if !keep && !peer.tickets.is_empty() {
                log::warn!(
                    vm:% = vm, tickets = peer.tickets.len();
                    "reclaimed the slots of a silent entry"
                );
                silent.push(std::mem::take(&mut peer.tickets));
            }
            keep
        });
        drop(peers);
        drop(silent);
    }

    /// Tells other entries to request their slots elsewhere, before this process stops. Running
    /// requests keep their slots.
    pub(crate) fn redirect_waiting(&self) {
        let mut moved = Vec::new();
        let mut peers = self.peers.lock();
        for (vm, peer) in peers.iter_mut() {
            let is_waiting = |r: &RemoteRequest| matches!(r, RemoteRequest::Waiting { .. });
            let tickets: Vec<TicketNo> = peer
                .tickets
                .iter()
                .filter(|(_, r)| is_waiting(r))
                .map(|(t, _)| *t)
                .collect();
            for ticket in tickets {
                moved.push((vm.clone(), ticket, peer.tickets.remove(&ticket)));
            }
        }
        drop(peers);
        for (vm, ticket, request) in moved {
            self.sink.queue(&vm, LinkMsg::Moved(ticket));
            drop(request);
        }
    }
}

fn to_slot_request(msg: AskMsg, now: Instant) -> SlotRequest {
    SlotRequest {
        serves: msg.serves,
        org: msg.org,
        weight: msg.weight,
        class: msg.class,
        tier: msg.tier,
        arrived: now - msg.waited,
        deadline: now + msg.remaining,
        prompt_tokens: msg.prompt_tokens,
        requirements: msg.requirements,
        resumed: msg.resumed,
    }
}
