//! The tables that all tasks of the process share.
//!
//! Lock order: catalog, registry, placers, budgets, peers, tally. No lock is held across an await.

use {
    super::{Life, TrueTime},
    crate::{
        fleet::Registry,
        peers::PeerTable,
        port::{Dialect, NodeSettings},
        version::{CallerLimits, Catalog},
    },
    async_executor::Executor,
    clock::SharedClock,
    h1::Pool,
    parking_lot::{Mutex, RwLock},
    route::{Placer, WindowBudget},
    std::{collections::BTreeMap, sync::Arc},
    types::{Incarnation, ServiceId},
    usage::Tally,
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
    pub(crate) budgets: Mutex<BTreeMap<ServiceId, WindowBudget>>,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) tally: Mutex<Tally>,
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
            settings,
            dialect,
            catalog: RwLock::default(),
            registry: Mutex::default(),
            placers: Mutex::default(),
            budgets: Mutex::default(),
            peers: Mutex::default(),
            tally: Mutex::default(),
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

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.life.is_stopping()
            && self.catalog.read().is_some()
            && !self.registry.lock().is_empty()
    }
}
