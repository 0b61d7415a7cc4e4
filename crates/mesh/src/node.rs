//! The process's side of the exchange: the shared store, its peers, and the tasks that keep them even.

use {
    super::{Changed, SYNC_PATH, Store, SyncAnswer, SyncRequest},
    clock::SharedClock,
    compact_str::CompactString,
    event_listener::Event,
    http_types::{Method, Request, headers::HeaderName},
    parking_lot::{Mutex, MutexGuard},
    std::{collections::BTreeMap, net::SocketAddr, str::FromStr, sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
    types::{Bytes, Incarnation, VmId},
    wire::{Call, CallLimits, Client, from_rmp, to_rmp},
};

/// Header that carries the shared secret.
pub const AUTH_HEADER: &str = "x-celerystage-mesh";
const MAX_MESSAGE: Bytes = Bytes(16 * 1024 * 1024);
const CALL_LIMITS: CallLimits = CallLimits {
    connect: Duration::from_millis(500),
    head: Duration::from_secs(1),
    gap: Duration::from_secs(1),
};

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
pub type PeerList = BTreeMap<VmId, SocketAddr>;

/// One process's part in the exchange.
///
/// Lock order: `store` before `lacks`; neither is held across an await.
pub struct Node {
    vm: VmId,
    incarnation: Incarnation,
    auth: Authenticator,
    client: Client,
    clock: SharedClock,
    store: Mutex<Store>,
    /// What each peer had when it last answered.
    lacks: Mutex<BTreeMap<SocketAddr, super::Summary>>,
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

    /// Takes in new state and wakes whoever waits for changes.
    pub fn apply(&self, delta: super::Delta) -> Changed {
        let changed = self.store.lock().apply(delta);
        if changed.any() {
            self.changed.notify(usize::MAX);
        }
        changed
    }

    /// Answers a peer's request.
    pub fn answer(&self, request: SyncRequest) -> SyncAnswer {
        self.apply(request.delta);
        let store = self.store.lock();
        SyncAnswer {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            have: store.summary(),
            delta: store.newer_than(&request.have),
        }
    }

    /// Decodes and answers a peer's request.
    pub fn answer_bytes(&self, body: &[u8]) -> Option<Vec<u8>> {
        let request: SyncRequest = from_rmp(body).ok()?;
        to_rmp(&self.answer(request)).ok()
    }

    /// Exchanges with one peer; the answer's state has been taken in.
    pub async fn exchange(&self, peer: SocketAddr) -> Option<SyncAnswer> {
        let request = self.request(peer);
        let mut call = Call::new(peer, Method::Post, SYNC_PATH)
            .body(to_rmp(&request).ok()?)
            .limits(CALL_LIMITS);
        self.auth.sign(&mut call.request);
        let mut reply = self.client.send(call).await.ok()?;
        let mut answer: SyncAnswer = reply.rmp(MAX_MESSAGE).await.ok()?;
        self.apply(std::mem::take(&mut answer.delta));
        self.lacks.lock().insert(peer, answer.have.clone());
        Some(answer)
    }

    fn request(&self, peer: SocketAddr) -> SyncRequest {
        let store = self.store.lock();
        let delta = match self.lacks.lock().get(&peer) {
            Some(have) => store.newer_than(have),
            None => super::Delta::default(),
        };
        SyncRequest {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            have: store.summary(),
            delta,
        }
    }
}
