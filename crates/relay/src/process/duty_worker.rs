//! Holds the duty seat, and does the duties while it is held.

use {
    super::{Node, capacity_planner::CapacityPlanner},
    crate::adapter::{AppendOutcome, DutyApi, FenceToken, SharedLog, Topic},
    clock::Stamp,
    coord::{Sealed, Seat, SeatRecord, SeatStep, SeatTimes},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::OrgId,
    usage::{TallyBook, TallyRecord, window_at},
};

/// Time between two looks at the seat while it is held.
const HOLDER_POLL: Duration = Duration::from_millis(250);
/// Time between two looks while another VM holds it: each one is a call.
const STANDBY_POLL: Duration = Duration::from_millis(1_800);
/// VMs of each zone that contend for the seat while they read the platform: one is enough unless
/// the platform turns single VMs away.
const MAX_CONTENDERS: usize = 3;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Time after a window's end at which its figures are fixed: all VMs have stored their counts then.
const SEAL_DELAY: Duration = Duration::from_millis(5_000);
/// Windows that are still reported, counted from the newest ended one.
const MAX_OPEN_WINDOWS: u64 = 4;
/// Spread of claims after a lapse.
const CLAIM_JITTER_MS: u64 = 600;

/// What the holder keeps from one look to the next.
pub(super) struct DutyWorker {
    node: Arc<Node>,
    log: Arc<dyn SharedLog>,
    duty_api: Arc<dyn DutyApi>,
    seat: Seat,
    tallies: TallyBook,
    /// Next record of the usage topic.
    next_offset: u64,
    reported: BTreeMap<u64, bool>,
    planner: CapacityPlanner,
    holding: bool,
}

/// Contends for the seat and does the duties until it is dropped.
pub(super) async fn run_duties(
    node: Arc<Node>,
    log: Arc<dyn SharedLog>,
    duty_api: Arc<dyn DutyApi>,
) {
    let lease = node.settings.bounds.lease;
    let times = SeatTimes {
        lease,
        // A call that was sent just before must end before others may claim.
        hold: lease.saturating_sub(duty_api.call_limit() * 2) * 2 / 3,
        renew: RENEW_INTERVAL,
    };
    let jitter = Duration::from_millis(fastrand::u64(..CLAIM_JITTER_MS));
    let now = node.clock.now();
    let seat = Seat::new(
        now,
        node.settings.vm.clone(),
        node.incarnation,
        times,
        jitter,
    );
    let mut worker = DutyWorker {
        planner: CapacityPlanner::new(node.clone(), duty_api.clone()),
        node,
        log,
        duty_api,
        seat,
        tallies: TallyBook::default(),
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
    /// One look at the seat; returns the time until the next.
    async fn poll(&mut self) -> Duration {
        if self.node.lifecycle.is_stopping() {
            self.log_transition();
            return STANDBY_POLL;
        }
        let now = self.node.clock.now();
        if !self.seat.is_own() && !self.may_contend(now) {
            // A VM that begins to contend reads the log first.
            self.seat.unsure();
            self.log_transition();
            return STANDBY_POLL;
        }
        if (self.seat.must_read() || !self.seat.is_own()) && !self.read_seat_log().await {
            self.log_transition();
            return RETRY_PAUSE;
        }
        if let SeatStep::Append(record, at) = self.seat.step(self.node.clock.now()) {
            self.append_record(&record, at).await;
        }
        self.log_transition();
        if self.fence().is_some() {
            self.process_usage().await;
            if self.node.settings.orders_capacity {
                self.planner.run(&self.seat).await;
            }
        }
        if self.seat.is_own() || self.seat.must_read() {
            HOLDER_POLL
        } else {
            STANDBY_POLL
        }
    }

    /// Whether this VM contends for the seat: it reads the platform, and is one of the first of its
    /// zone to do so. When all VMs turn to the platform, the others leave the log alone.
    fn may_contend(&self, now: Stamp) -> bool {
        let before = self.node.peers.lock().readers(now).len();
        before < MAX_CONTENDERS && self.node.reads_platform(now)
    }

    fn fence(&self) -> Option<FenceToken> {
        let epoch = self.seat.epoch(self.node.clock.now())?;
        Some(FenceToken { epoch })
    }

    /// Logs a change of what this VM believes of the seat.
    fn log_transition(&mut self) {
        let epoch = self.fence().map(|f| f.epoch.0);
        if self.holding == epoch.is_some() {
            return;
        }
        self.holding = epoch.is_some();
        match epoch {
            Some(epoch) => log::info!(epoch = epoch; "duties held"),
            None => {
                let holder = self.seat.holder().map_or("", |vm| vm.as_str());
                log::info!(holder = holder; "duties no longer held");
            }
        }
        self.planner.reset(self.node.clock.now());
    }

    /// Reads the seat's log to its end; false when it cannot be read.
    async fn read_seat_log(&mut self) -> bool {
        let from = self.seat.end();
        match self.log.read(Topic::Duty, from, Duration::ZERO).await {
            Ok(entries) => {
                let now = self.node.clock.now();
                for (offset, bytes) in &entries.records {
                    match rmp_serde::from_slice::<SeatRecord>(bytes) {
                        Ok(record) => self.seat.fold(now, *offset, &record),
                        Err(e) => {
                            log::error!(offset = *offset, error:% = e; "duty record cannot be decoded");
                            self.seat.skip(now, *offset);
                        }
                    }
                }
                let read = entries.records.last().map_or(entries.first, |(o, _)| o + 1);
                if read.max(from) >= entries.end {
                    self.seat.read_to(entries.end);
                }
                true
            }
            Err(e) => {
                log::debug!(error:% = e; "duty log cannot be read");
                false
            }
        }
    }

    async fn append_record(&mut self, record: &SeatRecord, at: u64) -> bool {
        let Ok(bytes) = rmp_serde::to_vec(record) else {
            log::error!("duty record cannot be encoded");
            return false;
        };
        self.seat.sending(self.node.clock.now());
        match self.log.append(Topic::Duty, &bytes, Some(at)).await {
            Ok(AppendOutcome::Appended(offset)) => {
                self.seat.fold(self.node.clock.now(), offset, record);
                true
            }
            Ok(AppendOutcome::Conflict(end)) => {
                log::info!(at = at, end = end; "duty record was overtaken");
                self.seat.unsure();
                false
            }
            Err(e) => {
                log::warn!(at = at, error:% = e; "duty record may be appended or not");
                self.seat.unsure();
                false
            }
        }
    }

    /// Reads counts, fixes the figures of ended windows, reports fixed ones.
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
        if open.is_empty() || !self.read_tallies().await {
            return;
        }
        for window in open {
            if self.seat.sealed(window).is_none() && !self.seal_window(window).await {
                return;
            }
            let counts = self.seat.sealed(window).map(|s| s.counts.clone());
            let Some(counts) = counts else {
                return;
            };
            if !self.report_window(window, &counts).await {
                return;
            }
        }
    }

    async fn seal_window(&mut self, window: u64) -> bool {
        let counts = self.tallies.sum(window);
        let now = self.node.clock.now();
        match self.seat.seal(now, Sealed { window, counts }) {
            Some((record, at)) => self.append_record(&record, at).await,
            None => false,
        }
    }

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
                log::warn!(window = window, epoch = fence.epoch.0, error:% = e; "usage not reported");
                false
            }
        }
    }

    async fn read_tallies(&mut self) -> bool {
        loop {
            let read = self
                .log
                .read(Topic::Usage, self.next_offset, Duration::ZERO)
                .await;
            let entries = match read {
                Ok(entries) => entries,
                Err(e) => {
                    log::warn!(error:% = e; "usage counts cannot be read");
                    return false;
                }
            };
            self.next_offset = self.next_offset.max(entries.first);
            for (offset, bytes) in entries.records {
                self.next_offset = offset + 1;
                match rmp_serde::from_slice::<Vec<TallyRecord>>(&bytes) {
                    Ok(records) => records.into_iter().for_each(|r| self.tallies.fold(r)),
                    Err(e) => {
                        log::error!(offset = offset, error:% = e; "usage record cannot be decoded");
                    }
                }
            }
            if self.next_offset >= entries.end {
                return true;
            }
        }
    }
}

/// Time between two records of this VM's counts: with one call that gets no answer it is below the
/// time after which a window is sealed.
const STORE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Stores counts until it is dropped: those of this VM and of VMs that follow it.
pub(super) async fn store_tallies(node: Arc<Node>, log: Arc<dyn SharedLog>) {
    loop {
        node.clock.sleep(STORE_INTERVAL).await;
        if node.reads_platform(node.clock.now()) || !node.peer_tallies.lock().is_empty() {
            flush_tallies(&node, &*log).await;
        }
    }
}

/// Stores the counts that changed.
pub(super) async fn flush_tallies(node: &Node, log: &dyn SharedLog) {
    let changed = node.tally.lock().take_changed();
    let mut records = node.tally_records(changed);
    records.append(&mut node.peer_tallies.lock());
    if records.is_empty() {
        return;
    }
    let Ok(bytes) = rmp_serde::to_vec(&records) else {
        log::error!("usage record cannot be encoded");
        return;
    };
    if let Err(e) = log.append(Topic::Usage, &bytes, None).await {
        log::warn!(error:% = e; "usage counts not stored");
        // Counts are cumulative, so storing them twice changes nothing.
        node.peer_tallies.lock().extend(records);
    }
}
