//! State that all tasks of the process share.
//!
//! Lock order: config, registry, sent_loads, placers, retry_budgets, peers, count_keeper,
//! window_counter, history, freshness, origins.
//! No lock is held across an await.

use {
    super::{
        ByteBudget, ConnectionChecks, Freshness, Lifecycle, StreamOrigins, WallClock,
        gossip::SentLoads,
    },
    crate::{
        adapter::{HeaderCodec, NodeSettings},
        configuration::{CallerLimits, Config},
        endpoints::{ChangeHistory, EvacuationTable, Registry},
        peers::PeerTable,
    },
    admit::RetryDetector,
    async_executor::Executor,
    clock::{Instant, SharedClock},
    detour::{CarrierTable, Reachability},
    event_listener::Event,
    h1::Pool,
    parking_lot::{Mutex, RwLock},
    route::{CrashTable, Placer, RetryReserve, SlidingRetryBudget},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize},
        },
        time::Duration,
    },
    types::{Bytes, Incarnation, ServiceId},
    usage::{CountBacklog, WindowCountRecord, WindowCounter, WindowCounts, window_at},
};

/// The process services that the router uses: executor, clock and stop signal.
pub type NodeProcess = daemon::Process;

/// Time after the start in which a VM waits for word from the seeds before it reads the platform.
const FIRST_CONTACT: Duration = Duration::from_millis(400);
/// Time after the start in which a stronger VM of the zone counts as its reader as soon as it is
/// heard of.
const MAX_START_DEFERRAL: Duration = Duration::from_millis(2_500);
/// Time after the start in which a reader without state may be starting too. A request to it and a read of the platform
/// after that time take less than three seconds in all.
const MAX_READER_START: Duration = Duration::from_millis(1_500);

/// The budgets for the bodies of requests and of buffered responses are each this fraction of the memory: one
/// part in so many.
const BODY_SHARE: u64 = 4;

/// State shared by all tasks.
pub(crate) struct Node {
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) clock: SharedClock,
    pub(crate) settings: NodeSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) codec: Arc<dyn HeaderCodec>,
    pub(crate) config: RwLock<Option<Arc<Config>>>,
    pub(crate) registry: Mutex<Registry>,
    /// The evacuated availability zones. Locked before the placers.
    pub(crate) evacuations: Mutex<EvacuationTable>,
    pub(crate) placers: Mutex<BTreeMap<ServiceId, Placer>>,
    pub(crate) retry_budgets: Mutex<BTreeMap<ServiceId, SlidingRetryBudget>>,
    /// This VM's share of their fixed part. Not locked together with anything else.
    pub(super) retry_reserve: Mutex<RetryReserve>,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) sent_loads: Mutex<SentLoads>,
    /// What requests have done to endpoints. Not locked together with anything else.
    pub(crate) crashes: Mutex<CrashTable>,
    /// Recognises retries that honoured `Retry-After`. Not locked together with anything else.
    pub(crate) retry_detector: Mutex<RetryDetector>,
    /// Which releases began streams.
    pub(crate) origins: Mutex<StreamOrigins>,
    /// Notified when there is something to tell or to ask of origins, and when something was learnt.
    pub(crate) origins_due: Event,
    pub(crate) origins_learned: Event,
    /// Notified when there are origins to log, and when some were logged.
    pub(crate) origins_added: Event,
    pub(crate) origins_logged: Event,
    /// Notified when the records should be read.
    pub(crate) records_asked: Event,
    /// Checks of silent endpoints. Not locked together with anything else.
    pub(crate) connection_checks: Mutex<ConnectionChecks>,
    /// Whether this VM reaches the endpoints. Not locked together with anything else.
    pub(crate) reachability: Mutex<Reachability>,
    /// Notified when it begins or ceases to reach them.
    pub(crate) link_changed: Event,
    /// The VMs that may carry requests. Not locked together with anything else.
    pub(crate) carriers: Mutex<CarrierTable>,
    /// Number of requests of other VMs that this one carries.
    pub(super) carried: AtomicUsize,
    /// Sequence number of the next gossip message.
    pub(crate) gossip_seq: AtomicU64,
    /// Memory budget of the bodies of callers' requests.
    pub(crate) request_bytes: Arc<ByteBudget>,
    /// Memory budget of buffered responses.
    pub(crate) response_bytes: Arc<ByteBudget>,
    pub(crate) window_counter: Mutex<WindowCounter>,
    /// The process that last took this VM's usage counts to store them.
    count_keeper: Mutex<Option<Incarnation>>,
    /// Usage counts to be stored, of this VM and of those that read through it.
    pub(crate) count_backlog: Mutex<CountBacklog>,
    /// Changes of the registry, for VMs that read through this one.
    pub(crate) history: Mutex<ChangeHistory>,
    /// Notified on each change of the configuration or the registry.
    pub(crate) changed: Event,
    pub(crate) freshness: Mutex<Freshness>,
    /// Time until which this VM reads the platform itself, although another VM of its zone does
    /// too.
    direct_until: Mutex<Instant>,
    started: Instant,
    pub(crate) pool: Pool,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) wall_clock: WallClock,
}

impl Node {
    pub(crate) fn new(
        process: &NodeProcess,
        settings: NodeSettings,
        codec: Arc<dyn HeaderCodec>,
    ) -> Self {
        Self {
            executor: process.ex.clone(),
            clock: process.clock.clone(),
            incarnation: process.incarnation(),
            wall_clock: WallClock::new(&*process.clock),
            codec,
            config: RwLock::default(),
            registry: Mutex::default(),
            evacuations: Mutex::default(),
            placers: Mutex::default(),
            retry_budgets: Mutex::default(),
            retry_reserve: Mutex::new(RetryReserve::new(
                process.clock.now(),
                (settings.bounds.retry_reserve, settings.bounds.retry_window),
                settings.first_start,
                fastrand::f64(),
            )),
            peers: Mutex::new(PeerTable::new(
                settings.vm.clone(),
                settings.zone.clone(),
                settings.millicores,
            )),
            sent_loads: Mutex::default(),
            crashes: Mutex::new(CrashTable::new(fastrand::f64())),
            retry_detector: Mutex::default(),
            origins: Mutex::new(StreamOrigins::new(settings.first_start)),
            origins_due: Event::new(),
            origins_learned: Event::new(),
            origins_added: Event::new(),
            origins_logged: Event::new(),
            records_asked: Event::new(),
            connection_checks: Mutex::default(),
            reachability: Mutex::default(),
            link_changed: Event::new(),
            carriers: Mutex::new(CarrierTable::new(fastrand::u64(..))),
            carried: AtomicUsize::new(0),
            gossip_seq: AtomicU64::new(1),
            request_bytes: ByteBudget::new(Bytes(settings.memory.0 / BODY_SHARE)),
            response_bytes: ByteBudget::new(Bytes(settings.memory.0 / BODY_SHARE)),
            window_counter: Mutex::default(),
            count_keeper: Mutex::default(),
            count_backlog: Mutex::default(),
            history: Mutex::default(),
            changed: Event::new(),
            freshness: Mutex::default(),
            direct_until: Mutex::default(),
            started: process.clock.now(),
            settings,
            pool: Pool::default(),
            lifecycle: Lifecycle::default(),
        }
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.config.read().clone()
    }

    /// Limits on callers.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let config = self.config.read();
        config.as_ref().map(|c| c.doc.limits).unwrap_or_default()
    }

    /// Whether this VM has to read the platform: as the reader of its zone, or because the reader's
    /// state is stale. At the start it first learns whether its zone has another reader; otherwise
    /// all VMs that start together would read the platform.
    pub(crate) fn reads_platform(&self, now: Instant) -> bool {
        if now < *self.direct_until.lock() {
            return true;
        }
        let age = now.since(self.started);
        let peers = self.peers.lock();
        if age < FIRST_CONTACT && !self.settings.is_seed() {
            return false;
        }
        if age < MAX_START_DEFERRAL && peers.knows_stronger(now) {
            return false;
        }
        peers.readers(now).is_empty()
    }

    /// Time since this process has started.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.since(self.started)
    }

    /// Whether this VM may read the platform because the state of its readers is stale: in a large
    /// fleet only the hubs may, and none does while its readers may still be starting. `has_read` tells whether the
    /// reader has ever read the platform.
    pub(crate) fn may_read_directly(&self, now: Instant, has_read: bool) -> bool {
        let peers = self.peers.lock();
        (has_read || self.age(now) >= MAX_READER_START)
            && (!peers.uses_hubs(now) || peers.is_hub(now))
    }

    /// Whether this VM uses the state of VMs that read the platform while it cannot: in a large fleet the hubs do, which
    /// the others follow.
    pub(crate) fn may_ask_others(&self, now: Instant) -> bool {
        let peers = self.peers.lock();
        self.age(now) >= MAX_START_DEFERRAL && (!peers.uses_hubs(now) || peers.is_hub(now))
    }

    /// Makes this VM read the platform itself until `until`.
    pub(crate) fn read_platform_until(&self, until: Instant) {
        *self.direct_until.lock() = until;
    }

    /// Usage counts of this VM that changed since the last call, or that became final.
    pub(crate) fn take_counts(&self) -> Vec<WindowCountRecord> {
        let unix = self.wall_clock.unix(self.clock.now());
        let current = window_at(unix, self.settings.bounds.usage_window);
        let changed = self.window_counter.lock().take_changed(current);
        let stopped = self.lifecycle.has_drained();
        let record = |changed: WindowCounts| WindowCountRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            window: changed.window,
            counts: changed.counts,
            complete: changed.complete,
            stopped,
        };
        changed.into_iter().map(record).collect()
    }

    /// Notes which process has taken this VM's usage counts. If it is another one than before, that
    /// one may have ended without storing what it had, so the latest windows are published again.
    pub(crate) fn note_count_keeper(&self, keeper: Incarnation) {
        let last = self.count_keeper.lock().replace(keeper);
        if last.is_some_and(|last| last != keeper) {
            self.window_counter.lock().mark_recent();
        }
    }

    /// Whether the VM is ready for callers: it isn't shutting down and knows a configuration and
    /// endpoints.
    pub(crate) fn is_ready(&self) -> bool {
        !self.lifecycle.is_stopping()
            && self.config.read().is_some()
            && !self.registry.lock().is_empty()
    }
}
