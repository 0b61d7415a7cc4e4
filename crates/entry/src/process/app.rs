//! The process: its shared tables, servers and tasks.

use {
    super::{Accounts, EntrySettings, KeyWatches, links::MeshHandler},
    crate::{
        request::Front,
        sched::{Dispatch, Scheduler, Share},
        version::View,
    },
    admit::{LimitShare, Limiter},
    async_executor::Executor,
    clock::{SharedClock, within},
    daemon::Process,
    event_listener::Event,
    eyre::Result,
    mesh::{Authenticator, Headroom, Node, Store},
    once::Claimer,
    parking_lot::{Mutex, RwLock},
    ports::{HttpPlatform, VmState},
    route::{AttemptBudget, RETRY_BURST, RETRY_RATIO},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    types::{EndpointId, Reason, Refusal, VmId},
    wire::{Client, ServerLimits, StopSignal},
};

/// When a caller may try again whose key cannot be verified.
const CONTACT_RETRY: Duration = Duration::from_secs(10);
/// Longest wait of a stop for the outcomes of claimed requests to be on the log.
const CLAIMS_END: Duration = Duration::from_secs(10);
/// Time between lists of running requests to the VMs that schedule them.
const BEAT: Duration = Duration::from_secs(1);
/// Time between looks at the queues for requests that became too late.
const TICK: Duration = Duration::from_millis(25);

/// Shared tables of the process.
///
/// Lock order: the node's store, then `view`, then the scheduler's groups, then key watches, then
/// accounts. A lock is never held across an await.
pub(crate) struct App {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: SharedClock,
    pub(crate) ex: Arc<Executor<'static>>,
    pub(crate) client: Client,
    pub(crate) node: Arc<Node>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) share: Share,
    pub(crate) dispatch: Arc<dyn Dispatch>,
    pub(crate) keys: Arc<KeyWatches>,
    pub(crate) claimer: Option<Arc<Claimer>>,
    /// Whether peers were heard, so that this process does not start behind them.
    pub(super) caught_up: AtomicBool,
    /// Keeps retries to a share of the answered requests. Its lock is taken alone.
    pub(crate) retries: Mutex<AttemptBudget>,
    /// Meters of organisations' limits. Its lock is taken alone.
    pub(crate) limiter: Mutex<Limiter>,
    pub(crate) accounts: Arc<Accounts>,
    view: RwLock<Arc<View>>,
    /// Wakes when the view has changed.
    viewed: Event,
}

impl App {
    fn new(process: &Process, settings: EntrySettings) -> Arc<Self> {
        let clock = process.clock.clone();
        let client = Client::new(clock.clone());
        let incarnation = process.incarnation();
        let auth = Authenticator::new(settings.secrets.clone());
        let vm = settings.vm.clone();
        let node = Node::new(vm, incarnation, auth, client.clone(), clock.clone());
        let accounts = Accounts::new(&settings, incarnation, clock.clone());
        let scheduler = Scheduler::new(clock.clone(), settings.policy);
        let platform = settings
            .platform
            .map(|a| Arc::new(HttpPlatform::new(client.clone(), a)));
        let claimer = platform.map(|log| Claimer::new(log, clock.clone(), settings.claim()));
        let ex = process.ex.clone();
        let zone = settings.zone.clone();
        let share = Share::new(
            zone,
            node.clone(),
            scheduler.clone(),
            ex.clone(),
            clock.clone(),
        );
        Arc::new(Self {
            dispatch: share.dispatch(settings.sharing),
            settings,
            clock,
            ex,
            client,
            node,
            share,
            scheduler,
            keys: Arc::default(),
            claimer,
            caught_up: AtomicBool::new(false),
            limiter: Mutex::default(),
            retries: Mutex::new(AttemptBudget::new(RETRY_RATIO, RETRY_BURST)),
            accounts,
            view: RwLock::default(),
            viewed: Event::new(),
        })
    }

    /// Free slots of what this VM schedules.
    pub(crate) fn headroom(&self) -> Vec<Headroom> {
        self.share.headroom()
    }

    /// The current view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Refuses when nothing was heard of the platform for so long that keys are no longer honoured.
    pub(crate) fn check_contact(&self) -> Result<(), Refusal> {
        let age = self.node.log_contact_age();
        if age.is_some_and(|a| a <= self.settings.honour()) {
            return Ok(());
        }
        let message = "keys cannot be verified: nothing was heard of the platform for too long";
        Err(Refusal::not_run(Reason::Unavailable, message).retry_in(CONTACT_RETRY))
    }

    /// Resolves when an endpoint is about to be evicted.
    pub(crate) async fn evicted(&self, endpoint: &EndpointId) {
        loop {
            let viewed = self.viewed.listen();
            if self.view().evicted.contains(endpoint) {
                return;
            }
            viewed.await;
        }
    }

    /// Makes a new view whenever the store changes.
    async fn follow(self: Arc<Self>, process: Process) {
        loop {
            let changed = self.node.changed().listen();
            self.refresh();
            if self.caught_up.load(Ordering::SeqCst) {
                process.ready.set(!process.stop.is_set());
            }
            changed.await;
        }
    }

    fn refresh(&self) {
        let (view, share) = {
            let store = self.node.store();
            self.keys.sweep(&store);
            self.accounts.look(&store);
            let view = Arc::new(View::of(&store, &self.settings.zone));
            (view, limit_share(&store, &self.settings.vm))
        };
        self.limiter.lock().set_share(share);
        let last = std::mem::replace(&mut *self.view.write(), view.clone());
        if last.config.version() != view.config.version() {
            log::info!(version = view.config.version().0; "configuration in force");
            metrics::gauge!("celerystage_config_version").set(view.config.version().0 as f64);
        }
        let endpoints: usize = view.local.values().map(Vec::len).sum();
        metrics::gauge!("celerystage_endpoints").set(endpoints as f64);
        self.scheduler.update(&view);
        self.share.update(&view);
        self.viewed.notify(usize::MAX);
    }

    /// Waits until requests under claims have ended and their outcomes are on the log.
    async fn finish_claims(&self) {
        let Some(claimer) = &self.claimer else { return };
        if within(&*self.clock, CLAIMS_END, claimer.idle())
            .await
            .is_err()
        {
            log::warn!("stopping before all claims are on the log");
        }
    }

    async fn beat(self: Arc<Self>) {
        loop {
            self.clock.sleep(BEAT).await;
            self.share.beat();
        }
    }

    async fn tick(self: Arc<Self>) {
        loop {
            self.clock.sleep(TICK).await;
            self.scheduler.tick();
            self.limiter.lock().sweep(self.clock.now());
            for (serves, waiting) in self.scheduler.waiting() {
                let label = serves.to_string();
                metrics::gauge!("celerystage_waiting", "serves" => label).set(waiting as f64);
            }
        }
    }
}

/// This VM's equal share of the fleet's limits: its place in the order of the listed live VMs.
fn limit_share(store: &Store, own: &VmId) -> LimitShare {
    let listed = store.vms().vms.iter();
    let live = listed.filter(|v| v.state == VmState::Live || v.vm == *own);
    let mut live: Vec<&VmId> = live.map(|v| &v.vm).collect();
    live.sort();
    let index = live.iter().position(|v| *v == own);
    let count = live.len() + usize::from(index.is_none());
    LimitShare::equal(count as u32, index.unwrap_or(live.len()) as u32)
}

/// Runs the entry daemon until it is told to stop and the last request has ended.
pub async fn run_entry(process: Process, settings: EntrySettings) -> Result<()> {
    let app = App::new(&process, settings);
    let limits = ServerLimits::default();
    let (callers_end, mesh_end) = (StopSignal::default(), StopSignal::default());
    let front = Arc::new(Front::new(app.clone()));
    let mesh = Arc::new(MeshHandler::new(&app));
    let callers = process.bind(
        "callers",
        app.settings.callers,
        front,
        limits,
        callers_end.clone(),
    )?;
    let callers = callers.drain_signal(process.stop.clone());
    let mesh = process.bind("mesh", app.settings.mesh, mesh, limits, mesh_end.clone())?;
    let mesh_task = process.spawn_server(mesh);
    let claims = app.claimer.iter().flat_map(|c| {
        [
            process.ex.spawn(c.clone().follow()),
            process.ex.spawn(c.clone().write()),
        ]
    });
    let claims: Vec<_> = claims.collect();
    let shown = app.clone();
    process
        .pages
        .add("/slo", move || shown.accounts.page(&shown.view().config));
    let tasks = [
        process.ex.spawn(app.clone().follow(process.clone())),
        process.ex.spawn(app.clone().gossip()),
        process.ex.spawn(app.clone().tick()),
        process.ex.spawn(app.clone().beat()),
    ];
    let serving = process.spawn_server(callers);
    process.stop.wait().await;
    process.ready.set(false);
    app.node.start_leaving();
    app.share.move_out();
    app.clock.sleep(app.settings.drain()).await;
    callers_end.trigger();
    serving.await;
    app.finish_claims().await;
    app.accounts.collected().await;
    mesh_end.trigger();
    mesh_task.await;
    drop((tasks, claims));
    Ok(())
}
