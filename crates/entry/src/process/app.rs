//! The entry's process: shared state, servers and background tasks.

use {
    super::{Accounting, EntrySettings, KeyWatches, mesh_handler::MeshHandler},
    crate::{
        request::CallerHandler,
        sched::{Dispatcher, Scheduler, SlotSharing},
        version::View,
    },
    admit::{LimitShare, Limiter},
    async_executor::Executor,
    clock::{SharedClock, timeout},
    daemon::Process,
    event_listener::Event,
    eyre::Result,
    mesh::{Authenticator, Headroom, MeshNode, Store},
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

/// Suggested retry delay for a caller whose key cannot be verified.
const CONTACT_RETRY: Duration = Duration::from_secs(10);
/// Longest time that a stop waits for the outcomes of claimed requests to reach the log.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between heartbeats, which list running requests to the VMs that schedule them.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks of the queues for requests past their deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Shared state of the process.
///
/// Lock order: the node's store, then `view`, then the scheduler's services, then key watches, then
/// `accounting`. A lock is never held across an await.
pub(crate) struct App {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: SharedClock,
    pub(crate) ex: Arc<Executor<'static>>,
    pub(crate) client: Client,
    pub(crate) node: Arc<MeshNode>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) sharing: SlotSharing,
    pub(crate) dispatcher: Arc<dyn Dispatcher>,
    pub(crate) keys: Arc<KeyWatches>,
    pub(crate) claimer: Option<Arc<Claimer>>,
    /// Whether the process has exchanged with peers, so that it doesn't start with an outdated
    /// store. It isn't ready before.
    pub(super) caught_up: AtomicBool,
    /// Limits retries to a share of the answered requests. No other lock is held while it is
    /// locked.
    pub(crate) retries: Mutex<AttemptBudget>,
    /// Usage of the organisations' limits. No other lock is held while it is locked.
    pub(crate) limiter: Mutex<Limiter>,
    pub(crate) accounting: Arc<Accounting>,
    view: RwLock<Arc<View>>,
    /// Notified when the view has changed.
    view_changed: Event,
}

impl App {
    fn new(process: &Process, settings: EntrySettings) -> Arc<Self> {
        let clock = process.clock.clone();
        let client = Client::new(clock.clone());
        let incarnation = process.incarnation();
        let auth = Authenticator::new(settings.secrets.clone());
        let vm = settings.vm.clone();
        let node = MeshNode::new(vm, incarnation, auth, client.clone(), clock.clone());
        let accounting = Accounting::new(&settings, incarnation, clock.clone());
        let scheduler = Scheduler::new(clock.clone(), settings.policy);
        let platform = settings
            .platform
            .map(|a| Arc::new(HttpPlatform::new(client.clone(), a)));
        let claimer =
            platform.map(|log| Claimer::new(log, clock.clone(), settings.claim_retention()));
        let ex = process.ex.clone();
        let zone = settings.zone.clone();
        let sharing = SlotSharing::new(
            zone,
            node.clone(),
            scheduler.clone(),
            ex.clone(),
            clock.clone(),
        );
        Arc::new(Self {
            dispatcher: sharing.dispatcher(settings.sharing),
            settings,
            clock,
            ex,
            client,
            node,
            sharing,
            scheduler,
            keys: Arc::default(),
            claimer,
            caught_up: AtomicBool::new(false),
            limiter: Mutex::default(),
            retries: Mutex::new(AttemptBudget::new(RETRY_RATIO, RETRY_BURST)),
            accounting,
            view: RwLock::default(),
            view_changed: Event::new(),
        })
    }

    /// Free slots of the models that this VM schedules.
    pub(crate) fn headroom(&self) -> Vec<Headroom> {
        self.sharing.headroom()
    }

    /// The current view of the shared state.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Refuses a request when no news of the platform has arrived for longer than the setting
    /// `honour_s`: withdrawn keys might then go unnoticed.
    pub(crate) fn check_platform_contact(&self) -> Result<(), Refusal> {
        let age = self.node.log_contact_age();
        if age.is_some_and(|a| a <= self.settings.honour_time()) {
            return Ok(());
        }
        let message = "keys cannot be verified: nothing was heard of the platform for too long";
        Err(Refusal::not_run(Reason::Unavailable, message).with_retry_after(CONTACT_RETRY))
    }

    /// Resolves when the endpoint is about to be evicted.
    pub(crate) async fn wait_evicted(&self, endpoint: &EndpointId) {
        loop {
            let view_changed = self.view_changed.listen();
            if self.view().evicted.contains(endpoint) {
                return;
            }
            view_changed.await;
        }
    }

    /// Updates the view whenever the store changes, and readiness once the process has caught up.
    async fn follow_store(self: Arc<Self>, process: Process) {
        loop {
            let changed = self.node.changed().listen();
            self.refresh_view();
            if self.caught_up.load(Ordering::SeqCst) {
                process.ready.set(!process.stop.is_set());
            }
            changed.await;
        }
    }

    fn refresh_view(&self) {
        let (view, share) = {
            let store = self.node.store();
            self.keys.notify_withdrawn(&store);
            self.accounting.record_endpoints(&store);
            let view = Arc::new(View::from_store(&store, &self.settings.zone));
            (view, limit_share(&store, &self.settings.vm))
        };
        self.limiter.lock().set_share(share);
        let last = std::mem::replace(&mut *self.view.write(), view.clone());
        if last.config.version() != view.config.version() {
            log::info!(version = view.config.version().0; "configuration in force");
            metrics::gauge!("celerystage_config_version").set(view.config.version().0 as f64);
        }
        let endpoints: usize = view.local_endpoints.values().map(Vec::len).sum();
        metrics::gauge!("celerystage_endpoints").set(endpoints as f64);
        self.scheduler.update(&view);
        self.sharing.update(&view);
        self.view_changed.notify(usize::MAX);
    }

    /// Waits until claimed requests have ended and their outcomes are on the log, for a limited
    /// time.
    async fn wait_for_claims(&self) {
        let Some(claimer) = &self.claimer else { return };
        if timeout(&*self.clock, CLAIMS_TIMEOUT, claimer.wait_idle())
            .await
            .is_err()
        {
            log::warn!("stopping before the outcomes of all claims are on the log");
        }
    }

    async fn heartbeat_loop(self: Arc<Self>) {
        loop {
            self.clock.sleep(HEARTBEAT_INTERVAL).await;
            self.sharing.heartbeat();
        }
    }

    async fn tick_loop(self: Arc<Self>) {
        loop {
            self.clock.sleep(TICK_INTERVAL).await;
            self.scheduler.tick();
            self.limiter.lock().sweep(self.clock.now());
            for (serves, waiting) in self.scheduler.waiting() {
                let label = serves.to_string();
                metrics::gauge!("celerystage_waiting", "serves" => label).set(waiting as f64);
            }
        }
    }
}

/// This VM's share of the limits that apply to the whole fleet: equal parts, by the VM's rank among
/// the live VMs.
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
    let (callers_stop, mesh_stop) = (StopSignal::default(), StopSignal::default());
    let handler = Arc::new(CallerHandler::new(app.clone()));
    let mesh = Arc::new(MeshHandler::new(&app));
    let callers = process.bind(
        "callers",
        app.settings.callers,
        handler,
        limits,
        callers_stop.clone(),
    )?;
    let callers = callers.drain_signal(process.stop.clone());
    let mesh = process.bind("mesh", app.settings.mesh, mesh, limits, mesh_stop.clone())?;
    let mesh_task = process.spawn_server(mesh);
    let claims = app.claimer.iter().flat_map(|c| {
        [
            process.ex.spawn(c.clone().follow_log()),
            process.ex.spawn(c.clone().write_log()),
        ]
    });
    let claims: Vec<_> = claims.collect();
    let page_app = app.clone();
    process.pages.add("/slo", move || {
        page_app.accounting.slo_page(&page_app.view().config)
    });
    let tasks = [
        process.ex.spawn(app.clone().follow_store(process.clone())),
        process.ex.spawn(app.clone().gossip()),
        process.ex.spawn(app.clone().tick_loop()),
        process.ex.spawn(app.clone().heartbeat_loop()),
    ];
    let serving = process.spawn_server(callers);
    process.stop.wait().await;
    process.ready.set(false);
    app.node.start_leaving();
    app.sharing.redirect_waiting();
    app.clock.sleep(app.settings.drain_time()).await;
    callers_stop.trigger();
    serving.await;
    app.wait_for_claims().await;
    app.accounting.wait_collected().await;
    mesh_stop.trigger();
    mesh_task.await;
    drop((tasks, claims));
    Ok(())
}
