//! The holder's side: collects, seals and reports while the zone's usage lease is held.

use {
    crate::{
        Collect, Folded, Held, PullAnswer, PullRequest, Seal, Sealed, UsageRecord, UsageSettings,
        WindowId, WindowStart, Windows,
    },
    clock::SharedClock,
    coord::Tenure,
    futures_lite::future::{FutureExt, zip},
    ports::{Log, PlatformError, Stream, UsageApi},
    std::{collections::BTreeSet, future::Future, pin::Pin, sync::Arc, time::Duration},
    types::{Epoch, VmId, ZoneId},
    wire::Stop,
};

/// Longest time without a seal of a zone; well under the time that the log keeps records.
const MAX_IDLE: Duration = Duration::from_secs(600);

/// What a sealer works with.
pub struct SealerParts {
    /// This VM.
    pub vm: VmId,
    /// Availability zone whose windows are sealed.
    pub zone: ZoneId,
    /// The log.
    pub log: Arc<dyn Log>,
    /// The usage-report interface.
    pub reports: Arc<dyn UsageApi>,
    /// The zone's usage lease.
    pub tenure: Arc<dyn Tenure>,
    /// The zone's entries.
    pub entries: Arc<dyn Collect>,
    /// Time.
    pub clock: SharedClock,
    /// Settings.
    pub settings: UsageSettings,
}

/// Collects, seals and reports the usage of one zone.
///
/// Its fold of the usage stream may be behind, but never wrong: a seal on a stale fold has no effect,
/// and the figures of a window that the fold shows as sealed are the same in every fold.
pub struct Sealer {
    parts: SealerParts,
    windows: Windows,
    held: Held,
    /// Whether this process was the last one known to hold the lease.
    collecting: bool,
    /// Windows whose reports were sent at least once.
    tried: BTreeSet<WindowId>,
    /// Windows whose reports the platform has taken.
    taken: BTreeSet<WindowId>,
}

type Answers<'a> = Pin<Box<dyn Future<Output = Vec<PullAnswer>> + Send + 'a>>;

impl Sealer {
    /// A sealer that has read nothing yet.
    pub fn new(parts: SealerParts) -> Self {
        Self {
            parts,
            windows: Windows::default(),
            held: Held::default(),
            collecting: false,
            tried: BTreeSet::new(),
            taken: BTreeSet::new(),
        }
    }

    /// Works until `stop` is set; then seals what it holds, so that a planned stop loses nothing.
    pub async fn run(mut self, stop: Stop) {
        while !stop.is_set() {
            self.tick().await;
            let pause = self.parts.clock.sleep(self.parts.settings.pull());
            pause.or(stop.wait()).await;
        }
        self.finish().await;
    }

    /// One round: reads the log, collects, seals what is due, reports what is sealed.
    pub async fn tick(&mut self) {
        let current = self.catch_up().await.is_ok();
        let holds = self.epoch().is_some();
        let replaced = self.windows.last_sender(&self.parts.zone);
        let replaced = replaced.is_some_and(|s| *s != self.parts.vm);
        self.collecting = holds || (self.collecting && !replaced);
        if !self.collecting {
            return;
        }
        self.collect().await;
        if current && holds {
            self.seal_due(self.parts.settings.grace()).await;
            self.report().await;
        }
    }

    /// Seals everything that is held, at once, and reports it.
    pub async fn finish(&mut self) {
        if self.epoch().is_none() || self.catch_up().await.is_err() {
            return;
        }
        self.collect().await;
        while !self.held.is_empty() {
            if !self.seal_next(None).await {
                break;
            }
        }
        self.report().await;
    }

    fn epoch(&self) -> Option<Epoch> {
        self.parts.tenure.epoch()
    }

    /// Reads the usage stream to its end.
    async fn catch_up(&mut self) -> Result<(), PlatformError> {
        loop {
            let from = self.windows.next();
            let page = self.parts.log.read(Stream::Usage, from, Duration::ZERO);
            let page = page.await?;
            if page.first > from {
                log::warn!(first = page.first; "usage records lost to retention");
                self.windows.cut(page.first);
                continue;
            }
            for record in &page.records {
                if self.windows.fold(record.offset, &record.data) == Folded::Ignored {
                    metrics::counter!("celerystage_usage_seals_ignored_total").increment(1);
                }
            }
            if page.records.is_empty() || self.windows.next() >= page.next {
                self.held.drop_sealed(&self.parts.zone, &self.windows);
                return Ok(());
            }
        }
    }

    /// Takes the entries' new chunks.
    async fn collect(&mut self) {
        let window = WindowStart::at(self.parts.clock.unix(), self.parts.settings.window());
        let mut all: Answers<'_> = Box::pin(async { Vec::new() });
        for vm in self.parts.entries.vms() {
            let request = self.request(&vm, window);
            let one = self.parts.entries.pull(vm, request);
            all = Box::pin(async move {
                let (mut answers, answer) = zip(all, one).await;
                answers.extend(answer);
                answers
            });
        }
        for answer in all.await {
            let sealed = self.windows.through(&self.parts.zone, &answer.source);
            self.held.take(answer, sealed);
        }
        let held = self.held.requests() as f64;
        metrics::gauge!("celerystage_usage_held_requests").set(held);
    }

    fn request(&self, vm: &VmId, window: WindowStart) -> PullRequest {
        let Some((source, have)) = self.held.newest(vm) else {
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
            sealed: self.windows.through(&self.parts.zone, source),
            window,
        }
    }

    /// Seals the windows that ended at least `grace` ago.
    async fn seal_due(&mut self, grace: Duration) {
        while self.seal_next(Some(grace)).await {}
    }

    /// Seals the next window; with a grace period only if it is over. `false` when nothing was sealed.
    async fn seal_next(&mut self, grace: Option<Duration>) -> bool {
        let length = self.parts.settings.window();
        let last = self.windows.last_start(&self.parts.zone);
        let Some(start) = self.held.next_window(last, length).or(self.idle_window()) else {
            return false;
        };
        let end = Duration::from_millis(start.0) + length;
        if grace.is_some_and(|g| end + g > self.parts.clock.unix()) {
            return false;
        }
        let window = WindowId {
            zone: self.parts.zone.clone(),
            start,
        };
        let Some(epoch) = self.epoch() else {
            return false;
        };
        let vm = self.parts.vm.clone();
        let listed = self.parts.entries.vms().into_iter().collect();
        let seal = self.held.seal(window, &self.windows, vm, epoch, &listed);
        let before = self.windows.last(&self.parts.zone);
        self.append(&UsageRecord::Seal(seal.clone())).await;
        if self.catch_up().await.is_err() || self.windows.last(&self.parts.zone) == before {
            return false;
        }
        count_late(&seal);
        true
    }

    /// The window to be sealed though it is empty, so that the zone's marks stay in the log.
    fn idle_window(&self) -> Option<WindowStart> {
        let last = self.windows.last_start(&self.parts.zone)?;
        let unix = self.parts.clock.unix();
        let idle = unix.saturating_sub(Duration::from_millis(last.0));
        (idle > MAX_IDLE).then(|| WindowStart::at(unix, self.parts.settings.window()))
    }

    /// Appends a record. Whether it took effect is read back from the log.
    async fn append(&self, record: &UsageRecord) {
        let Ok(data) = serde_json::to_string(record) else {
            return;
        };
        if self.epoch().is_none() {
            return;
        }
        if let Err(e) = self.parts.log.append(Stream::Usage, &data).await {
            log::warn!(error:% = e; "cannot append to the usage stream");
        }
    }

    /// Reports sealed windows that are not acknowledged, oldest first, until one fails.
    async fn report(&mut self) {
        let zone = &self.parts.zone;
        let open: Vec<Sealed> = self.windows.unreported(zone).cloned().collect();
        let still: BTreeSet<WindowId> = open.iter().map(|s| s.seal.window.clone()).collect();
        self.tried.retain(|w| still.contains(w));
        self.taken.retain(|w| still.contains(w));
        for Sealed { seal, .. } in open {
            if !self.taken.contains(&seal.window) && !self.send(&seal).await {
                return;
            }
            self.append(&UsageRecord::Reported(seal.window)).await;
        }
    }

    /// Sends one report; the lease is checked last thing before. `true` when the platform took it.
    async fn send(&mut self, seal: &Seal) -> bool {
        let report = seal.report(self.parts.vm.clone());
        if self.epoch().is_none() {
            return false;
        }
        let sent = self.parts.reports.report(&report).await;
        if !self.tried.insert(seal.window.clone()) {
            metrics::counter!("celerystage_usage_reports_retried_total").increment(1);
        }
        match sent {
            Ok(()) => {
                self.count_report(seal);
                self.taken.insert(seal.window.clone());
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

    fn count_report(&self, seal: &Seal) {
        metrics::counter!("celerystage_usage_reports_total").increment(1);
        let settings = &self.parts.settings;
        let end = Duration::from_millis(seal.window.start.0) + settings.window();
        if self.parts.clock.unix() > end + settings.grace() + settings.window() {
            metrics::counter!("celerystage_usage_reports_late_total").increment(1);
        }
    }
}

fn count_late(seal: &Seal) {
    let late = seal.lines.iter().filter(|l| l.late);
    let requests = late.map(|l| l.requests).sum();
    metrics::counter!("celerystage_usage_counts_late_total").increment(requests);
}
