//! Contends for the duty lease in the shared log, and performs the duties while this VM holds it.

use {
    super::{Node, capacity_planner::CapacityPlanner},
    crate::adapter::{AppendOutcome, DutyApi, FenceToken, SharedLog, Topic},
    clock::Instant,
    coord::{DutyLease, DutyRecord, DutyStep, DutyTiming, SealedWindow},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::OrgId,
    usage::{WindowCountRecord, WindowTotals, window_at},
};

/// Polling interval while this VM holds the lease.
const HOLDER_POLL: Duration = Duration::from_millis(250);
/// Polling interval while another VM holds the lease; each poll is a call to the platform.
const STANDBY_POLL: Duration = Duration::from_millis(1_800);
/// Number of VMs in each zone that may contend for the lease while they read the platform. One is
/// enough unless the platform rejects single VMs.
const MAX_CONTENDERS: usize = 3;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Interval between renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Time after the end of a usage window at which it is sealed. All VMs have stored their counts by
/// then.
const SEAL_DELAY: Duration = Duration::from_millis(5_000);
/// Number of ended windows, counted from the newest, that are still reported.
const MAX_OPEN_WINDOWS: u64 = 4;
/// Upper bound of the random delay before a VM claims an expired lease.
const CLAIM_JITTER_MS: u64 = 600;

/// Contends for the lease and performs the duties.
pub(super) struct DutyWorker {
    node: Arc<Node>,
    log: Arc<dyn SharedLog>,
    duty_api: Arc<dyn DutyApi>,
    lease: DutyLease,
    window_totals: WindowTotals,
    /// Offset of the next record to read from the usage topic.
    next_offset: u64,
    /// The latest windows that this VM has reported.
    reported: BTreeMap<u64, bool>,
    planner: CapacityPlanner,
    /// Whether this VM held the lease at the last poll.
    holding: bool,
}

/// Contends for the lease and performs the duties until it is dropped.
pub(super) async fn run_duties(
    node: Arc<Node>,
    log: Arc<dyn SharedLog>,
    duty_api: Arc<dyn DutyApi>,
) {
    let lease_time = node.settings.bounds.lease;
    let timing = DutyTiming {
        lease: lease_time,
        // A call sent just before the end must finish before another VM may claim the lease.
        hold: lease_time.saturating_sub(duty_api.call_limit() * 2) * 2 / 3,
        renew: RENEW_INTERVAL,
    };
    let jitter = Duration::from_millis(fastrand::u64(..CLAIM_JITTER_MS));
    let now = node.clock.now();
    let lease = DutyLease::new(
        now,
        node.settings.vm.clone(),
        node.incarnation,
        timing,
        jitter,
    );
    let mut worker = DutyWorker {
        planner: CapacityPlanner::new(node.clone(), duty_api.clone()),
        node,
        log,
        duty_api,
        lease,
        window_totals: WindowTotals::default(),
        next_offset: 0,
        reported: BTreeMap::new(),
        holding: false,
    };
    loop {
        let pause = worker.poll().await;
        worker.node.clock.sleep(pause).await;
    }
}

impl DutyWorker {
    /// Polls the lease once, and performs the duties if it is held; returns the time until the next
    /// poll.
    async fn poll(&mut self) -> Duration {
        if self.node.lifecycle.is_stopping() {
            self.log_transition();
            return STANDBY_POLL;
        }
        let now = self.node.clock.now();
        if !self.lease.is_holder() && !self.may_contend(now) {
            // A VM that begins to contend has to read the log first.
            self.lease.require_read();
            self.log_transition();
            return STANDBY_POLL;
        }
        if (self.lease.must_read() || !self.lease.is_holder()) && !self.read_lease_log().await {
            self.log_transition();
            return RETRY_PAUSE;
        }
        if let DutyStep::Append(record, at) = self.lease.next_step(self.node.clock.now()) {
            self.append_record(&record, at).await;
        }
        self.log_transition();
        if self.fence().is_some() {
            self.process_usage().await;
            if self.node.settings.orders_capacity {
                self.planner.run(&self.lease).await;
            }
        }
        if self.lease.is_holder() || self.lease.must_read() {
            HOLDER_POLL
        } else {
            STANDBY_POLL
        }
    }

    /// Whether this VM contends for the lease: only the first `MAX_CONTENDERS` readers of a zone
    /// do. This bounds the load on the log when all VMs of a zone start to read the platform.
    fn may_contend(&self, now: Instant) -> bool {
        let preceding = self.node.peers.lock().readers(now).len();
        preceding < MAX_CONTENDERS && self.node.reads_platform(now)
    }

    /// The fencing token, if this VM holds the lease.
    fn fence(&self) -> Option<FenceToken> {
        let epoch = self.lease.epoch(self.node.clock.now())?;
        Some(FenceToken { epoch })
    }

    /// Logs when this VM gains or loses the lease, and resets the capacity planner then.
    fn log_transition(&mut self) {
        let epoch = self.fence().map(|f| f.epoch.0);
        if self.holding == epoch.is_some() {
            return;
        }
        self.holding = epoch.is_some();
        match epoch {
            Some(epoch) => log::info!(epoch = epoch; "duties acquired"),
            None => {
                let holder = self.lease.holder().map_or("", |vm| vm.as_str());
                log::info!(holder = holder; "duties lost");
            }
        }
        self.planner.reset(self.node.clock.now());
    }

    /// Reads the lease's topic to its end; false if the read fails.
    async fn read_lease_log(&mut self) -> bool {
        let from = self.lease.end_offset();
        match self.log.read(Topic::Duty, from, Duration::ZERO).await {
            Ok(batch) => {
                let now = self.node.clock.now();
                for (offset, bytes) in &batch.records {
                    match rmp_serde::from_slice::<DutyRecord>(bytes) {
                        Ok(record) => self.lease.fold(now, *offset, &record),
                        Err(e) => {
                            log::error!(offset = *offset, error:% = e; "cannot decode a duty record");
                            self.lease.skip(now, *offset);
                        }
                    }
                }
                let read = batch.records.last().map_or(batch.first, |(o, _)| o + 1);
                if read.max(from) >= batch.end {
                    self.lease.read_to(batch.end);
                }
                true
            }
            Err(e) => {
                log::debug!(error:% = e; "cannot read the duty log");
                false
            }
        }
    }

    /// Appends a record if the topic still ends at `at`; true only if it is known to be appended.
    async fn append_record(&mut self, record: &DutyRecord, at: u64) -> bool {
        let Ok(bytes) = rmp_serde::to_vec(record) else {
            log::error!("cannot encode a duty record");
            return false;
        };
        self.lease.append_started(self.node.clock.now());
        match self.log.append(Topic::Duty, &bytes, Some(at)).await {
            Ok(AppendOutcome::Appended(offset)) => {
                self.lease.fold(self.node.clock.now(), offset, record);
                true
            }
            Ok(AppendOutcome::Conflict(end)) => {
                log::info!(at = at, end = end; "duty record not appended: another record came first");
                self.lease.require_read();
                false
            }
            Err(e) => {
                log::warn!(at = at, error:% = e; "append of a duty record failed, its outcome is unknown");
                self.lease.require_read();
                false
            }
        }
    }

    /// Reads the usage counts, seals ended windows and reports sealed ones.
    async fn process_usage(&mut self) {
        if !self.node.settings.reports_usage {
            return;
        }
        let now = self.node.clock.now();
        let length = self.node.settings.bounds.usage_window;
        let unix = self.node.wall_clock.unix(now);
        let ended = window_at(unix.saturating_sub(SEAL_DELAY), length).saturating_sub(1);
        let open: Vec<u64> = (ended.saturating_sub(MAX_OPEN_WINDOWS - 1)..=ended)
            .filter(|w| !self.reported.contains_key(w))
            .collect();
        if open.is_empty() || !self.read_counts().await {
            return;
        }
        for window in open {
            if self.lease.sealed(window).is_none() && !self.seal_window(window).await {
                return;
            }
            let counts = self.lease.sealed(window).map(|s| s.counts.clone());
            let Some(counts) = counts else {
                return;
            };
            if !self.report_window(window, &counts).await {
                return;
            }
        }
    }

    /// Fixes the counts of a window; false on failure.
    async fn seal_window(&mut self, window: u64) -> bool {
        let counts = self.window_totals.total(window);
        let now = self.node.clock.now();
        match self.lease.seal(now, SealedWindow { window, counts }) {
            Some((record, at)) => self.append_record(&record, at).await,
            None => false,
        }
    }

    /// Reports a sealed window; false on failure.
    async fn report_window(&mut self, window: u64, counts: &BTreeMap<OrgId, u64>) -> bool {
        let Some(fence) = self.fence() else {
            return false;
        };
        let sent = self.duty_api.report_usage(fence, window, counts).await;
        let total: u64 = counts.values().sum();
        match sent {
            Ok(()) => {
                log::info!(window = window, epoch = fence.epoch.0, requests = total; "usage reported");
                self.reported.insert(window, true);
                while self.reported.len() > 2 * MAX_OPEN_WINDOWS as usize {
                    self.reported.pop_first();
                }
                true
            }
            Err(e) => {
                log::warn!(window = window, epoch = fence.epoch.0, error:% = e; "usage report failed");
                false
            }
        }
    }

    /// Reads the usage topic to its end; false on failure.
    async fn read_counts(&mut self) -> bool {
        loop {
            let read = self
                .log
                .read(Topic::Usage, self.next_offset, Duration::ZERO)
                .await;
            let batch = match read {
                Ok(batch) => batch,
                Err(e) => {
                    log::warn!(error:% = e; "cannot read usage counts");
                    return false;
                }
            };
            self.next_offset = self.next_offset.max(batch.first);
            for (offset, bytes) in batch.records {
                self.next_offset = offset + 1;
                match rmp_serde::from_slice::<Vec<WindowCountRecord>>(&bytes) {
                    Ok(records) => records.into_iter().for_each(|r| self.window_totals.fold(r)),
                    Err(e) => {
                        log::error!(offset = offset, error:% = e; "cannot decode usage counts");
                    }
                }
            }
            if self.next_offset >= batch.end {
                return true;
            }
        }
    }
}

/// Interval at which this VM stores its usage counts. Even with one call that times out, they are
/// stored before the window is sealed (`SEAL_DELAY`).
const STORE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Stores the usage counts of this VM and of the VMs that read through it, until it is dropped.
pub(super) async fn store_counts(node: Arc<Node>, log: Arc<dyn SharedLog>) {
    loop {
        node.clock.sleep(STORE_INTERVAL).await;
        if node.reads_platform(node.clock.now()) || !node.peer_counts.lock().is_empty() {
            flush_counts(&node, &*log).await;
        }
    }
}

/// Stores the usage counts that changed since the last call.
pub(super) async fn flush_counts(node: &Node, log: &dyn SharedLog) {
    let changed = node.window_counter.lock().take_changed();
    let mut records = node.count_records(changed);
    records.append(&mut node.peer_counts.lock());
    if records.is_empty() {
        return;
    }
    let Ok(bytes) = rmp_serde::to_vec(&records) else {
        log::error!("cannot encode usage counts");
        return;
    };
    if let Err(e) = log.append(Topic::Usage, &bytes, None).await {
        log::warn!(error:% = e; "cannot store usage counts");
        // Counts are cumulative, so storing them twice changes nothing.
        node.peer_counts.lock().extend(records);
    }
}
