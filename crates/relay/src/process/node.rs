//! The tables that all tasks of the process share.
//!
//! Lock order: catalog, registry, placers, budgets, peers, tally, history, fresh. No lock is held across an await.

use {
    super::{Freshness, Life, TrueTime},
    crate::{
        adapter::{HeaderCodec, NodeSettings},
        configuration::{CallerLimits, Config},
        endpoints::{History, Registry},
        peers::PeerTable,
    },
    async_executor::Executor,
    clock::{SharedClock, Stamp},
    event_listener::Event,
    h1::Pool,
    parking_lot::{Mutex, RwLock},
    route::{Placer, WindowBudget},
    std::{collections::BTreeMap, sync::Arc},
    types::{Incarnation, OrgId, ServiceId},
    usage::{Tally, TallyRecord},
};

/// The parts of a daemon's process that the router uses.
pub type NodeProcess = daemon::Process;

/// Shared tables.
pub(crate) struct Node {
    pub(crate) ex: Arc<Executor<'static>>,
    pub(crate) clock: SharedClock,
    pub(crate) settings: NodeSettings,
    pub(crate) inc: Incarnation,
    pub(crate) codec: Arc<dyn HeaderCodec>,
    pub(crate) config: RwLock<Option<Arc<Config>>>,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) placers: Mutex<BTreeMap<ServiceId, Placer>>,
    pub(crate) budgets: Mutex<BTreeMap<ServiceId, WindowBudget>>,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) tally: Mutex<Tally>,
    /// Counts of VMs that follow this one, to be stored.
    pub(crate) relayed: Mutex<Vec<TallyRecord>>,
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
        codec: Arc<dyn HeaderCodec>,
    ) -> Self {
        Self {
            ex: process.ex.clone(),
            clock: process.clock.clone(),
            inc: process.incarnation(),
            time: TrueTime::new(&*process.clock),
            codec,
            config: RwLock::default(),
            registry: Mutex::default(),
            placers: Mutex::default(),
            budgets: Mutex::default(),
            peers: Mutex::new(PeerTable::new(
                settings.vm.clone(),
                settings.zone.clone(),
                settings.millicores,
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
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.config.read().clone()
    }

    /// Limits for callers.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let config = self.config.read();
        config.as_ref().map(|c| c.doc.limits).unwrap_or_default()
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
    ) -> Vec<TallyRecord> {
        let record = |(window, counts)| TallyRecord {
            vm: self.settings.vm.clone(),
            inc: self.inc,
            window,
            counts,
        };
        changed.into_iter().map(record).collect()
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.life.is_stopping() && self.config.read().is_some() && !self.registry.lock().is_empty()
    }
}
