//! Collects, seals and reports usage while this process holds the zone's usage lease.

use {
    crate::{
        Collector, FoldOutcome, PullRequest, PullResponse, Seal, UnreportedWindow, UnsealedChunks,
        UsageRecord, UsageSettings, UsageState, WindowId, WindowStart,
    },
    clock::SharedClock,
    coord::LeaseHandle,
    futures_lite::future::{FutureExt, zip},
    ports::{Log, PlatformError, Stream, UsageApi},
    std::{collections::BTreeSet, future::Future, pin::Pin, sync::Arc, time::Duration},
    types::{Epoch, VmId, ZoneId},
    wire::StopSignal,
};

/// Longest time without a seal of a zone; well below the log's retention.
const MAX_SEAL_INTERVAL: Duration = Duration::from_secs(600);

/// Dependencies and settings of a sealer.
pub struct SealerContext {
    /// This VM.
    pub vm: VmId,
    /// Availability zone whose windows are sealed.
    pub zone: ZoneId,
    /// Log with the usage stream.
    pub log: Arc<dyn Log>,
    /// Receives the usage reports.
    pub reports: Arc<dyn UsageApi>,
    /// Usage lease of the zone.
    pub lease: Arc<dyn LeaseHandle>,
    /// Collects from the entries of the zone.
    pub entries: Arc<dyn Collector>,
    /// Clock.
    pub clock: SharedClock,
    /// Settings of usage windows.
    pub settings: UsageSettings,
}

/// Collects, seals and reports the usage of one zone.
///
/// Its state of the usage stream may be stale but is never wrong: a seal built on stale state has
/// no effect, and every process sees the same figures for a sealed window.
pub struct Sealer {
    context: SealerContext,
    state: UsageState,
    unsealed: UnsealedChunks,
    /// Whether this process is the last known holder of the lease.
    collecting: bool,
    /// Windows whose reports were sent at least once.
    attempted: BTreeSet<WindowId>,
    /// Windows whose reports the platform acknowledged.
    acknowledged: BTreeSet<WindowId>,
}

type PullResponses<'a> = Pin<Box<dyn Future<Output = Vec<PullResponse>> + Send + 'a>>;

impl Sealer {
    /// Creates a sealer that has read no records yet.
    pub fn new(context: SealerContext) -> Self {
        Self {
            context,
            state: UsageState::default(),
            unsealed: UnsealedChunks::default(),
            collecting: false,
            attempted: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
        }
    }

    /// Runs until `stop` is set. Then seals and reports all that was collected, so that a planned
    /// stop loses nothing.
    pub async fn run(mut self, stop: StopSignal) {
        while !stop.is_set() {
            self.run_round().await;
            let pause = self.context.clock.sleep(self.context.settings.pull());
            pause.or(stop.wait()).await;
        }
        self.drain().await;
    }

    /// Runs one round: reads the log, collects, seals the windows that are due, reports the sealed
    /// ones.
    pub async fn run_round(&mut self) {
        let current = self.catch_up().await.is_ok();
        let holds = self.epoch().is_some();
        let last_sender = self.state.last_sender(&self.context.zone);
        let replaced = last_sender.is_some_and(|s| *s != self.context.vm);
        self.collecting = holds || (self.collecting && !replaced);
        if !self.collecting {
            return;
        }
        self.collect().await;
        if current && holds {
            self.seal_due(self.context.settings.grace()).await;
            self.report().await;
        }
    }

    /// Seals all collected counts without waiting for the ends of their windows, and reports them.
    pub async fn drain(&mut self) {
        if self.epoch().is_none() || self.catch_up().await.is_err() {
            return;
        }
        self.collect().await;
        while !self.unsealed.is_empty() {
            if !self.seal_next(None).await {
                break;
            }
        }
        self.report().await;
    }

    fn epoch(&self) -> Option<Epoch> {
        self.context.lease.epoch()
    }

    /// Reads the usage stream to its end.
    async fn catch_up(&mut self) -> Result<(), PlatformError> {
        loop {
            let from = self.state.next_offset();
            let page = self.context.log.read(Stream::Usage, from, Duration::ZERO);
            let page = page.await?;
            if page.first > from {
                log::warn!(first = page.first; "usage records lost to retention");
                self.state.mark_lost(page.first);
                continue;
            }
            for record in &page.records {
                if self.state.fold(record.offset, &record.data) == FoldOutcome::Ignored {
                    metrics::counter!("celerystage_usage_seals_ignored_total").increment(1);
                }
            }
            if page.records.is_empty() || self.state.next_offset() >= page.next {
                self.unsealed.drop_sealed(&self.context.zone, &self.state);
                self.publish_unsealed();
                return Ok(());
            }
        }
    }

    /// Pulls the new chunks of all entries at the same time.
    async fn collect(&mut self) {
        let window = WindowStart::at(
            self.context.clock.unix_time(),
            self.context.settings.window(),
        );
        let mut all: PullResponses<'_> = Box::pin(async { Vec::new() });
        for vm in self.context.entries.vms() {
            let request = self.pull_request(&vm, window);
            let pull = self.context.entries.pull(vm, request);
            all = Box::pin(async move {
                let (mut responses, response) = zip(all, pull).await;
                responses.extend(response);
                responses
            });
        }
        for response in all.await {
            let sealed = self
                .state
                .sealed_through(&self.context.zone, &response.source);
            self.unsealed.accept(response, sealed);
        }
        self.publish_unsealed();
    }

    /// Publishes how many requests wait to be sealed. A window that is sealed leaves the number before its
    /// report is sent, so that no reader of both counts it twice.
    fn publish_unsealed(&self) {
        let unsealed = self.unsealed.requests() as f64;
        metrics::gauge!("celerystage_usage_held_requests").set(unsealed);
    }

    fn pull_request(&self, vm: &VmId, window: WindowStart) -> PullRequest {
        let Some((source, have)) = self.unsealed.newest_source(vm) else {
            return PullRequest {
                incarnation: None,
                have: 0,
                sealed: 0,
                window,
            };
        };
        PullRequest {
            incarnation: Some(source.incarnation),
            have,
            sealed: self.state.sealed_through(&self.context.zone, source),
            window,
        }
    }

    /// Seals all windows that ended at least `grace` ago.
    async fn seal_due(&mut self, grace: Duration) {
        while self.seal_next(Some(grace)).await {}
    }

    /// Seals the next window, with a grace period only if that has passed. `false` when nothing was
    /// sealed.
    async fn seal_next(&mut self, grace: Option<Duration>) -> bool {
        let length = self.context.settings.window();
        let last_start = self.state.last_start(&self.context.zone);
        let Some(start) = self
            .unsealed
            .next_window(last_start, length)
            .or(self.idle_window())
        else {
            return false;
        };
        let end = Duration::from_millis(start.0) + length;
        if grace.is_some_and(|g| end + g > self.context.clock.unix_time()) {
            return false;
        }
        let window = WindowId {
            zone: self.context.zone.clone(),
            start,
        };
        let Some(epoch) = self.epoch() else {
            return false;
        };
        let vm = self.context.vm.clone();
        let listed = self.context.entries.vms().into_iter().collect();
        let seal = self.unsealed.seal(window, &self.state, vm, epoch, &listed);
        let before = self.state.last_seal(&self.context.zone);
        self.append(&UsageRecord::Seal(seal.clone())).await;
        if self.catch_up().await.is_err() || self.state.last_seal(&self.context.zone) == before {
            return false;
        }
        count_late(&seal);
        true
    }

    /// Returns a window to be sealed although it is empty, so that retention does not drop the
    /// zone's watermarks from the log.
    fn idle_window(&self) -> Option<WindowStart> {
        let last_start = self.state.last_start(&self.context.zone)?;
        let unix = self.context.clock.unix_time();
        let idle = unix.saturating_sub(Duration::from_millis(last_start.0));
        (idle > MAX_SEAL_INTERVAL).then(|| WindowStart::at(unix, self.context.settings.window()))
    }

    /// Appends a record while the lease is held. Callers read back from the log whether it took
    /// effect.
    async fn append(&self, record: &UsageRecord) {
        let Ok(data) = serde_json::to_string(record) else {
            return;
        };
        if self.epoch().is_none() {
            return;
        }
        if let Err(e) = self.context.log.append(Stream::Usage, &data).await {
            log::warn!(error:% = e; "cannot append to the usage stream");
        }
    }

    /// Reports the sealed windows that are not acknowledged, oldest first, until a report fails.
    async fn report(&mut self) {
        let zone = &self.context.zone;
        let windows: Vec<UnreportedWindow> = self.state.unreported(zone).cloned().collect();
        let unreported: BTreeSet<WindowId> =
            windows.iter().map(|w| w.seal.window.clone()).collect();
        self.attempted.retain(|w| unreported.contains(w));
        self.acknowledged.retain(|w| unreported.contains(w));
        for UnreportedWindow { seal, .. } in windows {
            if !self.acknowledged.contains(&seal.window) && !self.send(&seal).await {
                return;
            }
            self.append(&UsageRecord::Reported(seal.window)).await;
        }
    }

    /// Sends one report, right after a check of the lease. `true` when the platform acknowledged
    /// it.
    async fn send(&mut self, seal: &Seal) -> bool {
        let report = seal.report(self.context.vm.clone());
        if self.epoch().is_none() {
            return false;
        }
        let sent = self.context.reports.report(&report).await;
        if !self.attempted.insert(seal.window.clone()) {
            metrics::counter!("celerystage_usage_reports_retried_total").increment(1);
        }
        match sent {
            Ok(()) => {
                self.count_report(seal);
                self.acknowledged.insert(seal.window.clone());
                true
            }
            Err(PlatformError::Refused(status)) => {
                metrics::counter!("celerystage_usage_reports_wrong_total").increment(1);
                log::error!(window:% = seal.window, status = status; "usage report refused");
                false
            }
            Err(e) => {
                log::warn!(window:% = seal.window, error:% = e; "usage report not acknowledged");
                false
            }
        }
    }

    /// Counts an acknowledged report, and whether it was late.
    fn count_report(&self, seal: &Seal) {
        metrics::counter!("celerystage_usage_reports_total").increment(1);
        let settings = &self.context.settings;
        let end = Duration::from_millis(seal.window.start.0) + settings.window();
        if self.context.clock.unix_time() > end + settings.grace() + settings.window() {
            metrics::counter!("celerystage_usage_reports_late_total").increment(1);
        }
    }
}

/// Counts the requests that a seal reports late.
fn count_late(seal: &Seal) {
    let late = seal.lines.iter().filter(|l| l.late);
    let requests = late.map(|l| l.requests).sum();
    metrics::counter!("celerystage_usage_counts_late_total").increment(requests);
}
