//! Runs a process: worker threads, signals, the admin server and the exit code.

use {
    crate::{
        AdminHandler, AdminPages, Args, ProcessSettings, ProgramInfo, Readiness, Settings,
        init_logs,
    },
    async_executor::{Executor, Task},
    async_io::block_on,
    async_signal::{Signal, Signals},
    clock::{SharedClock, SystemClock},
    conf::load_settings,
    eyre::{Result, WrapErr},
    futures_lite::StreamExt,
    metrics_exporter_prometheus::PrometheusBuilder,
    pico_args::Arguments,
    std::{future::Future, net::SocketAddr, process::ExitCode, sync::Arc, thread},
    types::Incarnation,
    wire::{Handler, Server, ServerLimits, StopSignal},
};

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_USAGE: u8 = 2;

/// A running process.
#[derive(Clone)]
pub struct Process {
    /// Executor of all tasks.
    pub ex: Arc<Executor<'static>>,
    /// Clock of the process.
    pub clock: SharedClock,
    /// Set on the signals TERM and INT.
    pub stop: StopSignal,
    /// Readiness that `/readyz` reports.
    pub ready: Readiness,
    /// Pages served in addition to metrics and health.
    pub pages: AdminPages,
}

impl Process {
    /// Binds a server and logs its address under `role`.
    pub fn bind(
        &self,
        role: &str,
        addr: SocketAddr,
        handler: Arc<dyn Handler>,
        limits: ServerLimits,
        stop: StopSignal,
    ) -> Result<Server> {
        let server = Server::bind(addr, handler, limits, self.clock.clone(), stop)
            .wrap_err_with(|| format!("cannot listen on {addr} for {role}"))?;
        let bound = server.addr()?;
        log::info!(role = role, addr:% = bound; "listening");
        Ok(server)
    }

    /// Creates an incarnation number from the current time, larger than those of earlier starts.
    pub fn incarnation(&self) -> Incarnation {
        let now = self.clock.unix_time().as_nanos();
        Incarnation(u64::try_from(now).unwrap_or(u64::MAX))
    }

    /// Spawns a task that runs a server and ends when its last connection has ended.
    pub fn spawn_server(&self, server: Server) -> Task<()> {
        let ex = self.ex.clone();
        self.ex.spawn(async move { server.run(&ex).await })
    }
}

/// Runs a daemon with the settings file that its command line names.
pub fn run_daemon<S, F, Fut>(info: ProgramInfo, main: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(Process, S) -> Fut,
    Fut: Future<Output = Result<()>>,
{
    let args = match Args::parse(Arguments::from_env()) {
        Ok(args) => args,
        Err(e) => return usage_error(info, &e),
    };
    let path = match &args {
        Args::Help => {
            print!("{}", info.help());
            return ExitCode::SUCCESS;
        }
        Args::Version => {
            println!("{} {}", info.name, env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Args::Run(path) | Args::Check(path) => path,
    };
    let settings: S = match load_settings(path) {
        Ok(settings) => settings,
        Err(e) => return usage_error(info, &e.into()),
    };
    if matches!(args, Args::Check(_)) {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    let process = settings.process().clone();
    run_process(info, &process, move |p| main(p, settings))
}

fn usage_error(info: ProgramInfo, error: &eyre::Report) -> ExitCode {
    eprintln!("{}: {error}", info.name);
    ExitCode::from(EXIT_BAD_USAGE)
}

/// Runs a process with the given settings.
pub fn run_process<F, Fut>(info: ProgramInfo, settings: &ProcessSettings, main: F) -> ExitCode
where
    F: FnOnce(Process) -> Fut,
    Fut: Future<Output = Result<()>>,
{
    match run_main(info, settings, main) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = format!("{e:#}"); "failed");
            eprintln!("{}: {e:#}", info.name);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_main<F, Fut>(info: ProgramInfo, settings: &ProcessSettings, main: F) -> Result<()>
where
    F: FnOnce(Process) -> Fut,
    Fut: Future<Output = Result<()>>,
{
    let clock = SystemClock::shared();
    let _log_guard = init_logs(info.name, settings.log.into(), clock.clone())?;
    let process = Process {
        ex: Arc::default(),
        clock,
        stop: StopSignal::default(),
        ready: Readiness::default(),
        pages: AdminPages::default(),
    };
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let workers_stop = StopSignal::default();
    // The main thread is one of the workers.
    for _ in 1..settings.threads {
        let (ex, workers_stop) = (process.ex.clone(), workers_stop.clone());
        thread::spawn(move || block_on(ex.run(workers_stop.wait())));
    }
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    process
        .ex
        .spawn(watch_signals(signals, process.stop.clone()))
        .detach();
    let admin = Arc::new(AdminHandler::new(
        metrics,
        process.ready.clone(),
        process.pages.clone(),
    ));
    let limits = ServerLimits::default();
    let server = process.bind("admin", settings.admin, admin, limits, workers_stop.clone())?;
    let admin_task = process.spawn_server(server);
    let result = block_on(process.ex.run(main(process.clone())));
    process.ready.set(false);
    log::info!("stopped");
    drop(admin_task);
    workers_stop.trigger();
    result
}

async fn watch_signals(mut signals: Signals, stop: StopSignal) {
    while let Some(Ok(signal)) = signals.next().await {
        if signal == Signal::Hup {
            log::info!("ignoring HUP: settings are only read at startup");
            continue;
        }
        log::info!(signal:? = signal; "stopping");
        stop.trigger();
    }
}
