//! Contends for the duty lease in the shared log, and performs the duties while this VM holds it.

use {
    super::{Node, capacity_planner::CapacityPlanner, usage_reporter::UsageReporter},
    crate::adapter::{AppendOutcome, DutyApi, LogRecords, SharedLog, Topic},
    clock::Instant,
    coord::{
        DutyEntry, DutyLease, DutyMember, DutyPermit, DutyStep, DutyTiming, LogChange, SealedWindow,
    },
    std::{sync::Arc, time::Duration},
    types::LogPosition,
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
/// Time after the start in which the time of day may be wrong, as it has not been compared with that
/// of other VMs; no usage window is sealed by it.
const CLOCK_CHECK_TIME: Duration = Duration::from_secs(3);
/// Upper bound of the random delay before a VM claims an expired lease.
const CLAIM_JITTER_MS: u64 = 600;

/// Contends for the lease and performs the duties.
pub(super) struct DutyWorker {
    node: Arc<Node>,
    log: Arc<dyn SharedLog>,
    lease: DutyLease,
    usage: UsageReporter,
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
        window: node.settings.bounds.usage_window,
    };
    let member = DutyMember {
        vm: node.settings.vm.clone(),
        incarnation: node.incarnation,
        jitter: Duration::from_millis(fastrand::u64(..CLAIM_JITTER_MS)),
        first_start: node.settings.first_start,
    };
    let lease = DutyLease::new(node.clock.now(), member, timing);
    let mut worker = DutyWorker {
        planner: CapacityPlanner::new(node.clone(), duty_api.clone()),
        usage: UsageReporter::new(node.clone(), log.clone(), duty_api),
        node,
        log,
        lease,
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
        if let DutyStep::Append(entry, at) = self.lease.next_step(self.node.clock.now()) {
            if !self.lease.is_holder() {
                self.log_claim(at);
            }
            self.append_entry(&entry, at).await;
        }
        self.log_transition();
        if self.permit().is_some() {
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

    /// The permission to act, if this VM has it.
    fn permit(&self) -> Option<DutyPermit> {
        self.lease.permit(self.node.clock.now())
    }

    /// Logs when this VM gains or loses the lease, and resets the capacity planner then.
    fn log_transition(&mut self) {
        let epoch = self.permit().map(|p| p.epoch.0);
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

    /// Logs what a claim of the lease is based on.
    fn log_claim(&self, at: u64) {
        let holder = self.lease.holder().map_or("", |vm| vm.as_str());
        let epoch = self.lease.holder_epoch().map_or(0, |e| e.0);
        let age = self.lease.record_age(self.node.clock.now());
        log::info!(at = at, holder = holder, epoch = epoch, record_age_ms = age.as_millis() as u64; "duties claimed");
    }

    /// Compares the end of the lease's topic, as an answer tells it, with what is known.
    fn observe(&mut self, end: LogPosition) -> LogChange {
        let now = self.node.clock.now();
        let known = self.lease.end_offset();
        let change = self.lease.observe(now, end, self.node.wall_clock.unix(now));
        match change {
            LogChange::Continues => {}
            LogChange::Restarted => {
                log::warn!(known = known, end:% = end; "duty log has lost records");
                metrics::counter!("celerystage_duty_log_restarts_total").increment(1);
            }
            LogChange::Outdated => {
                log::warn!(known = known, end:% = end; "outdated answer of the duty log ignored");
            }
        }
        change
    }

    /// Reads the lease's topic to its end; false if the read fails.
    async fn read_lease_log(&mut self) -> bool {
        let from = self.lease.end_offset();
        match self.log.read(Topic::Duty, from, Duration::ZERO).await {
            Ok(batch) => self.apply_batch(from, &batch),
            Err(e) => {
                log::debug!(error:% = e; "cannot read the duty log");
                false
            }
        }
    }

    /// Applies records that were read from the known end of the log; false if they are outdated.
    fn apply_batch(&mut self, from: u64, batch: &LogRecords) -> bool {
        let (era, offset) = (batch.era, batch.end);
        if batch.first > from || batch.end < from {
            log::warn!(from = from, first = batch.first, end = batch.end; "duty log does not continue at the known end");
        }
        match self.observe(LogPosition { era, offset }) {
            LogChange::Continues => {}
            LogChange::Restarted => return true,
            LogChange::Outdated => return false,
        }
        let before = self.lease.holder_epoch();
        self.fold_records(&batch.records);
        let epoch = self.lease.holder_epoch();
        if epoch != before {
            let holder = self.lease.holder().map_or("", |vm| vm.as_str());
            log::info!(holder = holder, epoch = epoch.map_or(0, |e| e.0), end = batch.end; "duty holder changed");
        }
        let read = batch.records.last().map_or(batch.first, |(o, _)| o + 1);
        if read.max(from) >= batch.end {
            self.lease.read_to(self.node.clock.now(), batch.end);
        }
        true
    }

    fn fold_records(&mut self, records: &[(u64, Vec<u8>)]) {
        let now = self.node.clock.now();
        let mut undecodable = 0_u32;
        for (offset, bytes) in records {
            match DutyEntry::decode(bytes) {
                Ok(entry) => self.lease.fold(now, *offset, &entry),
                Err(e) => {
                    self.lease.skip(now, *offset);
                    undecodable += 1;
                    if undecodable == 1 {
                        log::error!(offset = *offset, error:% = e; "cannot decode a duty record");
                    }
                }
            }
        }
        if undecodable > 1 {
            log::error!(records = undecodable; "cannot decode several duty records");
        }
    }

    /// Appends an entry if the topic still ends at `at`; true only if it is known to be appended.
    async fn append_entry(&mut self, entry: &DutyEntry, at: u64) -> bool {
        let bytes = match entry.encode() {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(error:% = e; "cannot encode a duty record");
                return false;
            }
        };
        self.lease.append_started(self.node.clock.now(), entry);
        match self.log.append(Topic::Duty, &bytes, Some(at)).await {
            Ok(AppendOutcome::Appended(position)) => {
                let LogPosition { era, offset } = position;
                let end = LogPosition {
                    era,
                    offset: offset + 1,
                };
                if self.observe(end) != LogChange::Continues {
                    self.lease.require_read();
                    return false;
                }
                self.lease.fold(self.node.clock.now(), offset, entry);
                true
            }
            Ok(AppendOutcome::Conflict(end)) => {
                log::info!(at = at, end:% = end; "duty record not appended: another record came first");
                self.observe(end);
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

    /// Seals ended usage windows and reports sealed ones.
    async fn process_usage(&mut self) {
        let is_checked = self.node.age(self.node.clock.now()) >= CLOCK_CHECK_TIME;
        if !self.node.settings.reports_usage || !is_checked {
            return;
        }
        for window in self.usage.open_windows() {
            if self.lease.sealed(window).is_none() {
                if self.lease.lost_seal(window).is_none() && !self.lease.is_open(window) {
                    self.usage.give_up(window);
                    continue;
                }
                if !self.seal_window(window).await {
                    return;
                }
            }
            let counts = self.lease.sealed(window).map(|s| s.counts.clone());
            let (Some(counts), Some(permit)) = (counts, self.permit()) else {
                return;
            };
            let left = permit.until.since(self.node.clock.now());
            log::info!(window = window, epoch = permit.epoch.0, left_ms = left.as_millis() as u64; "usage report sent");
            if !self.usage.report(permit, window, &counts).await {
                return;
            }
        }
    }

    /// Fixes the counts of a window; false if it isn't time yet, or on failure.
    async fn seal_window(&mut self, window: u64) -> bool {
        let counts = match self.lease.lost_seal(window) {
            Some(lost) => Some(lost.counts.clone()),
            None => self.usage.final_counts(window).await,
        };
        let Some(counts) = counts else {
            return false;
        };
        let now = self.node.clock.now();
        match self.lease.seal(now, SealedWindow { window, counts }) {
            Some((entry, at)) => self.append_entry(&entry, at).await,
            None => false,
        }
    }
}
