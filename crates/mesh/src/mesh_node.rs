//! A process's node in the mesh: its replica of the shared state, the reachability of its peers,
//! and the calls to them.

use {
    super::{
        CallFailure, Delta, Direction, EncodedMsg, Headroom, HeadroomTable, IncarnationStatus,
        LINK_PATH, LinkBatch, LinkMsg, LinkResponse, Members, SYNC_PATH, Store, StoreChanges,
        Summary, SyncRequest, SyncResponse, count_message,
    },
    clock::{Instant, SharedClock},
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
const MAX_MESSAGE_SIZE: Bytes = Bytes(16 * 1024 * 1024);
const SYNC_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_secs(1),
    body_idle: Duration::from_secs(1),
};

/// Timeout of a message batch to a VM in the same availability zone. A VM that exceeds it is
/// suspected.
const SAME_ZONE_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a message batch to a VM in another availability zone.
const CROSS_ZONE_TIMEOUT: Duration = Duration::from_secs(1);

/// Adds the shared secret to requests and checks it. Several secrets can be valid at once, so that
/// they can be rotated.
#[derive(Debug, Clone)]
pub struct Authenticator {
    secrets: Vec<CompactString>,
}

impl Authenticator {
    /// Creates an authenticator that sends the first secret and accepts all of them.
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

/// Addresses of the VMs to exchange state with.
pub type PeerAddrs = BTreeMap<VmId, SocketAddr>;

/// One process's node in the mesh.
///
/// Lock order: `store`, then `peer_summaries`, `members`, `log_contact`, `headroom`. No lock is
/// held across an await.
pub struct MeshNode {
    vm: VmId,
    incarnation: Incarnation,
    auth: Authenticator,
    client: Client,
    clock: SharedClock,
    store: Mutex<Store>,
    /// Summary of each peer, as of its last response.
    peer_summaries: Mutex<BTreeMap<SocketAddr, Summary>>,
    members: Mutex<Members>,
    /// When a VM is last known to have read the platform's log.
    log_contact: Mutex<Option<Instant>>,
    headroom: Mutex<HeadroomTable>,
    leaving: AtomicBool,
    changed: Event,
}

impl MeshNode {
    /// Creates a node with an empty store.
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
            peer_summaries: Mutex::default(),
            members: Mutex::default(),
            log_contact: Mutex::default(),
            headroom: Mutex::default(),
            leaving: AtomicBool::new(false),
            changed: Event::new(),
        })
    }

    /// This VM.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Incarnation of this process.
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

    /// Locks the store.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock()
    }

    /// Event that is notified on every change of the store.
    pub fn changed(&self) -> &Event {
        &self.changed
    }

    /// Records that this process has just read the platform's log.
    pub fn record_log_contact(&self) {
        *self.log_contact.lock() = Some(self.clock.now());
    }

    /// Time since any VM is known to have read the platform's log; `None` if never.
    pub fn log_contact_age(&self) -> Option<Duration> {
        let contact = *self.log_contact.lock();
        contact.map(|at| self.clock.now().since(at))
    }

    fn merge_log_contact(&self, age: Option<Duration>) {
        let Some(age) = age else { return };
        let at = self.clock.now() - age;
        let mut contact = self.log_contact.lock();
        *contact = Some(contact.map_or(at, |known| known.max(at)));
    }

    /// Locks the free slots by availability zone and model.
    pub fn headroom(&self) -> MutexGuard<'_, HeadroomTable> {
        self.headroom.lock()
    }

    /// Withdraws a key at once in this process; the withdrawal is replicated to the other VMs.
    pub fn revoke(&self, key: KeyDigest) -> StoreChanges {
        self.apply(Delta {
            revoked: vec![key],
            ..Delta::default()
        })
    }

    /// Marks this VM as stopping; other VMs learn it from its next batch response.
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

    /// Applies changes to the store and notifies the tasks that wait for changes.
    pub fn apply(&self, delta: Delta) -> StoreChanges {
        let changed = self.store.lock().apply(delta);
        if changed.any() {
            self.changed.notify(usize::MAX);
        }
        changed
    }

    /// Applies a peer's request and returns the response.
    pub fn handle_sync(&self, request: SyncRequest) -> SyncResponse {
        self.apply(request.delta);
        self.merge_log_contact(request.contact);
        let now = self.clock.now();
        self.headroom.lock().merge(now, request.headroom);
        let store = self.store.lock();
        SyncResponse {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            have: store.summary(),
            delta: store.delta_since(&request.have),
            contact: self.log_contact_age(),
            headroom: self.headroom.lock().snapshot(now),
        }
    }

    /// Like [`Self::handle_sync`], with an encoded request and response; `None` if decoding or
    /// encoding fails.
    pub fn handle_sync_bytes(&self, body: &[u8]) -> Option<Vec<u8>> {
        let request: SyncRequest = from_msgpack(body).ok()?;
        to_msgpack(&self.handle_sync(request)).ok()
    }

    /// Suspected VMs, which the caller probes again.
    pub fn suspected(&self) -> Vec<VmId> {
        self.members.lock().suspected()
    }

    /// Sends messages to a VM; returns whether its process was restarted since the last contact.
    pub async fn send_batch(
        &self,
        to: &VmId,
        msgs: &[LinkMsg],
    ) -> Result<IncarnationStatus, CallFailure> {
        let start = self.clock.now();
        let timeout = self.link_timeout(to);
        let sent = self.try_batch(to, msgs, timeout).await;
        let mut members = self.members.lock();
        if let Some(response) = sent {
            let status = members.record_response(to, response.incarnation, response.leaving);
            drop(members);
            self.headroom
                .lock()
                .merge(self.clock.now(), response.headroom);
            return Ok(status);
        }
        let timed_out = self.clock.now().since(start) >= timeout;
        let failure = if timed_out {
            CallFailure::TimedOut
        } else {
            CallFailure::Immediate
        };
        if members.record_failure(to, failure) {
            log::warn!(vm:% = to; "VM suspected to be unreachable");
        }
        Err(failure)
    }

    /// Timeout of a batch to this VM: shorter within an availability zone.
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
        let same_zone = zone(to) == zone(&self.vm);
        if same_zone {
            SAME_ZONE_TIMEOUT
        } else {
            CROSS_ZONE_TIMEOUT
        }
    }

    async fn try_batch(
        &self,
        to: &VmId,
        msgs: &[LinkMsg],
        timeout: Duration,
    ) -> Option<LinkResponse> {
        let addr = self.addr_of(to)?;
        let encoded = msgs
            .iter()
            .filter_map(|m| to_msgpack(m).ok().map(EncodedMsg))
            .collect();
        let batch = LinkBatch {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            msgs: encoded,
        };
        let body = to_msgpack(&batch).ok()?;
        count_message(LINK_PATH, Direction::Sent, body.len());
        let mut call = Call::new(addr, Method::Post, LINK_PATH)
            .body(body)
            .timeouts(CallTimeouts {
                connect: timeout,
                head: timeout,
                body_idle: timeout,
            });
        self.auth.sign(&mut call.request);
        let mut reply = self.client.send(call).await.ok()?;
        if reply.status() != 200 {
            return None;
        }
        let bytes = reply.bytes(MAX_MESSAGE_SIZE).await.ok()?;
        count_message(LINK_PATH, Direction::Received, bytes.len());
        let response: LinkResponse = from_msgpack(&bytes).ok()?;
        (response.from == *to).then_some(response)
    }

    /// Decodes a received batch, leaving out messages that cannot be decoded; `None` if it comes
    /// from an earlier incarnation of the sender's process.
    pub fn accept_batch(&self, batch: &LinkBatch) -> Option<Vec<LinkMsg>> {
        let status = self
            .members
            .lock()
            .record_message(&batch.from, batch.incarnation);
        if status == IncarnationStatus::Stale {
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

    /// The response to a batch of which `skipped` messages could not be decoded.
    pub fn link_response(&self, skipped: usize, headroom: Vec<Headroom>) -> LinkResponse {
        let note = (skipped > 0).then(|| format!("{skipped} messages not understood").into());
        LinkResponse {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            headroom,
            skipped: note,
        }
    }

    /// Exchanges state with one peer and applies what its response carries; `None` if the call
    /// fails.
    pub async fn exchange(&self, peer: SocketAddr) -> Option<SyncResponse> {
        let request = self.sync_request(peer);
        let body = to_msgpack(&request).ok()?;
        count_message(SYNC_PATH, Direction::Sent, body.len());
        let mut call = Call::new(peer, Method::Post, SYNC_PATH)
            .body(body)
            .timeouts(SYNC_TIMEOUTS);
        self.auth.sign(&mut call.request);
        let mut reply = self.client.send(call).await.ok()?;
        let bytes = reply.bytes(MAX_MESSAGE_SIZE).await.ok()?;
        count_message(SYNC_PATH, Direction::Received, bytes.len());
        let mut response: SyncResponse = from_msgpack(&bytes).ok()?;
        self.apply(std::mem::take(&mut response.delta));
        self.merge_log_contact(response.contact);
        let now = self.clock.now();
        self.headroom
            .lock()
            .merge(now, std::mem::take(&mut response.headroom));
        self.peer_summaries
            .lock()
            .insert(peer, response.have.clone());
        Some(response)
    }

    fn sync_request(&self, peer: SocketAddr) -> SyncRequest {
        let store = self.store.lock();
        let delta = match self.peer_summaries.lock().get(&peer) {
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
