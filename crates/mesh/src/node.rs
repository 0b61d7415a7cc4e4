//! The process's side of the exchange: the shared store, its peers, and the tasks that keep them even.

use {
    super::{
        CallFailure, Delta, Direction, EncodedMsg, Headroom, HeadroomTable, IncarnationStatus,
        LINK_PATH, LinkAnswer, LinkBatch, LinkMsg, Members, SYNC_PATH, Store, StoreChanges,
        Summary, SyncAnswer, SyncRequest, count_message,
    },
    clock::{SharedClock, Stamp},
    compact_str::CompactString,
    event_listener::Event,
    http_types::{Method, Request, headers::HeaderName},
    parking_lot::{Mutex, MutexGuard},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        str::FromStr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    subtle::ConstantTimeEq,
    types::{Bytes, Incarnation, KeyDigest, VmId},
    wire::{Call, CallTimeouts, Client, from_msgpack, to_msgpack},
};

/// Header that carries the shared secret.
pub const AUTH_HEADER: &str = "x-celerystage-mesh";
const MAX_MESSAGE: Bytes = Bytes(16 * 1024 * 1024);
const CALL_LIMITS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_secs(1),
    body_idle: Duration::from_secs(1),
};

/// Time for a message batch to be answered inside an availability zone, and beyond it. A VM that takes
/// longer is suspected.
const NEAR_LIMIT: Duration = Duration::from_millis(250);
const FAR_LIMIT: Duration = Duration::from_secs(1);

/// Checks and adds the shared secret. Two secrets are valid at once, so that they can be rotated.
#[derive(Debug, Clone)]
pub struct Authenticator {
    secrets: Vec<CompactString>,
}

impl Authenticator {
    /// Sends the first secret, accepts all of them.
    pub fn new(secrets: Vec<CompactString>) -> Self {
        Self { secrets }
    }

    /// Adds the secret to a request.
    pub fn sign(&self, request: &mut Request) {
        if let (Some(secret), Ok(name)) = (self.secrets.first(), HeaderName::from_str(AUTH_HEADER))
        {
            request.insert_header(name, secret.as_str());
        }
    }

    /// Whether a request carries a valid secret.
    pub fn accepts(&self, request: &Request) -> bool {
        let Some(sent) = request.header(AUTH_HEADER).map(|v| v.as_str().as_bytes()) else {
            return false;
        };
        self.secrets.iter().any(|s| s.as_bytes().ct_eq(sent).into())
    }
}

/// Addresses of the VMs to exchange with.
pub type PeerAddrs = BTreeMap<VmId, SocketAddr>;

/// One process's part in the exchange.
///
/// Lock order: `store`, then `lacks`, `members`, `contact`, `headroom`; none is held across an await.
pub struct Node {
    vm: VmId,
    incarnation: Incarnation,
    auth: Authenticator,
    client: Client,
    clock: SharedClock,
    store: Mutex<Store>,
    /// What each peer had when it last answered.
    lacks: Mutex<BTreeMap<SocketAddr, Summary>>,
    members: Mutex<Members>,
    contact: Mutex<Option<Stamp>>,
    headroom: Mutex<HeadroomTable>,
    leaving: AtomicBool,
    changed: Event,
}

impl Node {
    /// A node with an empty store.
    pub fn new(
        vm: VmId,
        incarnation: Incarnation,
        auth: Authenticator,
        client: Client,
        clock: SharedClock,
    ) -> Arc<Self> {
        Arc::new(Self {
            vm,
            incarnation,
            auth,
            client,
            clock,
            store: Mutex::default(),
            lacks: Mutex::default(),
            members: Mutex::default(),
            contact: Mutex::default(),
            headroom: Mutex::default(),
            leaving: AtomicBool::new(false),
            changed: Event::new(),
        })
    }

    /// This VM.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// This start of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The authenticator.
    pub fn auth(&self) -> &Authenticator {
        &self.auth
    }

    /// The HTTP client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// The clock.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// The store, locked.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock()
    }

    /// Wakes on every change of the store.
    pub fn changed(&self) -> &Event {
        &self.changed
    }

    /// Takes note that this VM's process has just read the platform's log.
    pub fn record_log_contact(&self) {
        *self.contact.lock() = Some(self.clock.now());
    }

    /// Time since any VM is known to have read the platform's log; `None` when none ever did.
    pub fn log_contact_age(&self) -> Option<Duration> {
        let contact = *self.contact.lock();
        contact.map(|at| self.clock.now().since(at))
    }

    fn merge_log_contact(&self, age: Option<Duration>) {
        let Some(age) = age else { return };
        let at = self.clock.now() - age;
        let mut contact = self.contact.lock();
        *contact = Some(contact.map_or(at, |known| known.max(at)));
    }

    /// Free slots by availability zone and model, locked.
    pub fn headroom(&self) -> MutexGuard<'_, HeadroomTable> {
        self.headroom.lock()
    }

    /// Withdraws a key at once, here and soon everywhere.
    pub fn revoke(&self, key: KeyDigest) -> StoreChanges {
        self.apply(Delta {
            revoked: vec![key],
            ..Delta::default()
        })
    }

    /// Marks this VM as stopping; other VMs learn it with the next answer.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether this VM is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Whether a VM can be given work.
    pub fn is_usable(&self, vm: &VmId) -> bool {
        if *vm == self.vm {
            return !self.is_leaving();
        }
        self.members.lock().is_usable(vm)
    }

    /// Address of a listed VM.
    pub fn addr_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let store = self.store.lock();
        store.vms().vms.iter().find(|v| v.vm == *vm).map(|v| v.addr)
    }

    /// Takes in new state and wakes whoever waits for changes.
    pub fn apply(&self, delta: Delta) -> StoreChanges {
        let changed = self.store.lock().apply(delta);
        if changed.any() {
            self.changed.notify(usize::MAX);
        }
        changed
    }

    /// Answers a peer's request.
    pub fn answer_sync(&self, request: SyncRequest) -> SyncAnswer {
        self.apply(request.delta);
        self.merge_log_contact(request.contact);
        let now = self.clock.now();
        self.headroom.lock().merge(now, request.headroom);
        let store = self.store.lock();
        SyncAnswer {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            have: store.summary(),
            delta: store.delta_since(&request.have),
            contact: self.log_contact_age(),
            headroom: self.headroom.lock().snapshot(now),
        }
    }

    /// Decodes and answers a peer's request.
    pub fn answer_sync_bytes(&self, body: &[u8]) -> Option<Vec<u8>> {
        let request: SyncRequest = from_msgpack(body).ok()?;
        to_msgpack(&self.answer_sync(request)).ok()
    }

    /// Suspected VMs, to be tried again.
    pub fn suspected(&self) -> Vec<VmId> {
        self.members.lock().suspected()
    }

    /// Sends messages to a VM; tells whether its process was started anew since the last contact.
    pub async fn send_batch(
        &self,
        to: &VmId,
        msgs: &[LinkMsg],
    ) -> Result<IncarnationStatus, CallFailure> {
        let start = self.clock.now();
        let limit = self.link_timeout(to);
        let sent = self.try_batch(to, msgs, limit).await;
        let mut members = self.members.lock();
        if let Some(answer) = sent {
            let heard = members.answered(to, answer.incarnation, answer.leaving);
            drop(members);
            self.headroom
                .lock()
                .merge(self.clock.now(), answer.headroom);
            return Ok(heard);
        }
        let late = self.clock.now().since(start) >= limit;
        let missed = if late {
            CallFailure::TimedOut
        } else {
            CallFailure::Immediate
        };
        if members.failed(to, missed) {
            log::warn!(vm:% = to; "VM suspected");
        }
        Err(missed)
    }

    /// Time for a batch to be answered: short inside an availability zone.
    fn link_timeout(&self, to: &VmId) -> Duration {
        let store = self.store.lock();
        let zone = |vm: &VmId| {
            store
                .vms()
                .vms
                .iter()
                .find(|v| v.vm == *vm)
                .map(|v| &v.zone)
        };
        let near = zone(to) == zone(&self.vm);
        if near { NEAR_LIMIT } else { FAR_LIMIT }
    }

    async fn try_batch(&self, to: &VmId, msgs: &[LinkMsg], limit: Duration) -> Option<LinkAnswer> {
        let addr = self.addr_of(to)?;
        let packed = msgs
            .iter()
            .filter_map(|m| to_msgpack(m).ok().map(EncodedMsg))
            .collect();
        let batch = LinkBatch {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            msgs: packed,
        };
        let body = to_msgpack(&batch).ok()?;
        count_message(LINK_PATH, Direction::Sent, body.len());
        let mut call = Call::new(addr, Method::Post, LINK_PATH)
            .body(body)
            .timeouts(CallTimeouts {
                connect: limit,
                head: limit,
                body_idle: limit,
            });
        self.auth.sign(&mut call.request);
        let mut reply = self.client.send(call).await.ok()?;
        if reply.status() != 200 {
            return None;
        }
        let bytes = reply.bytes(MAX_MESSAGE).await.ok()?;
        count_message(LINK_PATH, Direction::Received, bytes.len());
        let answer: LinkAnswer = from_msgpack(&bytes).ok()?;
        (answer.from == *to).then_some(answer)
    }

    /// Takes in a batch: the messages that are understood, or `None` when it comes from an earlier
    /// start of the sender's process.
    pub fn accept_batch(&self, batch: &LinkBatch) -> Option<Vec<LinkMsg>> {
        let heard = self.members.lock().heard(&batch.from, batch.incarnation);
        if heard == IncarnationStatus::Stale {
            return None;
        }
        Some(
            batch
                .msgs
                .iter()
                .filter_map(|m| from_msgpack(&m.0).ok())
                .collect(),
        )
    }

    /// The answer to a batch of which `skipped` messages were not understood.
    pub fn link_answer(&self, skipped: usize, headroom: Vec<Headroom>) -> LinkAnswer {
        let note = (skipped > 0).then(|| format!("{skipped} messages not understood").into());
        LinkAnswer {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            headroom,
            skipped: note,
        }
    }

    /// Exchanges with one peer; the answer's state has been taken in.
    pub async fn exchange(&self, peer: SocketAddr) -> Option<SyncAnswer> {
        let request = self.request(peer);
        let body = to_msgpack(&request).ok()?;
        count_message(SYNC_PATH, Direction::Sent, body.len());
        let mut call = Call::new(peer, Method::Post, SYNC_PATH)
            .body(body)
            .timeouts(CALL_LIMITS);
        self.auth.sign(&mut call.request);
        let mut reply = self.client.send(call).await.ok()?;
        let bytes = reply.bytes(MAX_MESSAGE).await.ok()?;
        count_message(SYNC_PATH, Direction::Received, bytes.len());
        let mut answer: SyncAnswer = from_msgpack(&bytes).ok()?;
        self.apply(std::mem::take(&mut answer.delta));
        self.merge_log_contact(answer.contact);
        let now = self.clock.now();
        self.headroom
            .lock()
            .merge(now, std::mem::take(&mut answer.headroom));
        self.lacks.lock().insert(peer, answer.have.clone());
        Some(answer)
    }

    fn request(&self, peer: SocketAddr) -> SyncRequest {
        let store = self.store.lock();
        let delta = match self.lacks.lock().get(&peer) {
            Some(have) => store.delta_since(have),
            None => Delta::default(),
        };
        SyncRequest {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            have: store.summary(),
            delta,
            contact: self.log_contact_age(),
            headroom: self.headroom.lock().snapshot(self.clock.now()),
        }
    }
}
