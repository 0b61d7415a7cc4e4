//! The tables that all tasks of the process share.
//!
//! Lock order: catalog, registry, placers, budgets, peers, tally, history, fresh. No lock is held across an await.

use {
    super::{Freshness, Life, TrueTime},
    crate::{
        fleet::{History, Registry},
        peers::PeerTable,
        port::{Dialect, NodeSettings},
        version::{CallerLimits, Catalog},
    },
    async_executor::Executor,
    clock::{SharedClock, Stamp},
    event_listener::Event,
    h1::Pool,
    parking_lot::{Mutex, RwLock},
    route::{Placer, SlidingRetryBudget},
    std::{collections::BTreeMap, sync::Arc},
    types::{Incarnation, OrgId, ServiceId},
    usage::{WindowCountRecord, WindowCounter},
};

/// The parts of a daemon's process that the router uses.
pub type NodeProcess = daemon::Process;

/// Shared tables.
pub(crate) struct Node {
    pub(crate) ex: Arc<Executor<'static>>,
    pub(crate) clock: SharedClock,
    pub(crate) settings: NodeSettings,
    pub(crate) inc: Incarnation,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) catalog: RwLock<Option<Arc<Catalog>>>,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) placers: Mutex<BTreeMap<ServiceId, Placer>>,
    pub(crate) budgets: Mutex<BTreeMap<ServiceId, SlidingRetryBudget>>,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) tally: Mutex<WindowCounter>,
    /// Counts of VMs that follow this one, to be stored.
    pub(crate) relayed: Mutex<Vec<WindowCountRecord>>,
    /// Changes of the registry, for VMs that follow this one.
    pub(crate) history: Mutex<History>,
    /// Notified on each change of catalog or registry.
    pub(crate) news: Event,
    pub(crate) fresh: Mutex<Freshness>,
    /// Until when this VM reads the platform though another does for its zone.
    alone: Mutex<Stamp>,
    pub(crate) pool: Pool,
    pub(crate) life: Life,
    pub(crate) time: TrueTime,
}

impl Node {
    pub(crate) fn new(
        process: &NodeProcess,
        settings: NodeSettings,
        dialect: Arc<dyn Dialect>,
    ) -> Self {
        Self {
            ex: process.ex.clone(),
            clock: process.clock.clone(),
            inc: process.incarnation(),
            time: TrueTime::new(&*process.clock),
            dialect,
            catalog: RwLock::default(),
            registry: Mutex::default(),
            placers: Mutex::default(),
            budgets: Mutex::default(),
            peers: Mutex::new(PeerTable::new(
                settings.vm.clone(),
                settings.zone.clone(),
                settings.power,
            )),
            tally: Mutex::default(),
            relayed: Mutex::default(),
            history: Mutex::default(),
            news: Event::new(),
            fresh: Mutex::default(),
            alone: Mutex::default(),
            settings,
            pool: Pool::default(),
            life: Life::default(),
        }
    }

    /// The configuration in force.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.read().clone()
    }

    /// Limits for callers.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let catalog = self.catalog.read();
        catalog.as_ref().map(|c| c.doc.limits).unwrap_or_default()
    }

    /// Whether this VM reads the platform: for its zone, or as it gets no fresh news.
    pub(crate) fn reads_platform(&self, now: Stamp) -> bool {
        now < *self.alone.lock() || self.peers.lock().readers(now).is_empty()
    }

    /// Makes this VM read the platform itself until `until`.
    pub(crate) fn read_alone(&self, until: Stamp) {
        *self.alone.lock() = until;
    }

    /// Records of counts of this VM.
    pub(crate) fn tally_records(
        &self,
        changed: Vec<(u64, BTreeMap<OrgId, u64>)>,
    ) -> Vec<WindowCountRecord> {
        let record = |(window, counts)| WindowCountRecord {
            vm: self.settings.vm.clone(),
            inc: self.inc,
            window,
            counts,
        };
        changed.into_iter().map(record).collect()
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.life.is_stopping()
            && self.catalog.read().is_some()
            && !self.registry.lock().is_empty()
    }
}
