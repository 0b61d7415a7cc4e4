//! Holds the duty seat, and does the duties while it is held.

use {
    super::{Node, capacity::Capacity},
    crate::port::{Appended, Duties, Fence, SharedLog, Topic},
    clock::Stamp,
    coord::{DutyLease, DutyRecord, DutyStep, DutyTiming, SealedWindow},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::OrgId,
    usage::{WindowCountRecord, WindowTotals, window_at},
};

/// Time between two looks at the seat while it is held.
const HOLDER_PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks while another VM holds it: each one is a call.
const OTHER_PAUSE: Duration = Duration::from_millis(1_800);
/// VMs of each zone that contend for the seat while they read the platform: one is enough unless the
/// platform turns single VMs away.
const CONTENDERS: usize = 3;
/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// Time between renewals.
const RENEW: Duration = Duration::from_millis(600);
/// Time after a window's end at which its figures are fixed: all VMs have stored their counts then.
const SEAL_AFTER: Duration = Duration::from_millis(5_000);
/// Windows that are still reported, counted from the newest ended one.
const OPEN_WINDOWS: u64 = 4;
/// Spread of claims after a lapse.
const CLAIM_JITTER_MS: u64 = 600;

/// What the holder keeps from one look to the next.
pub(super) struct Desk {
    node: Arc<Node>,
    log: Arc<dyn SharedLog>,
    duties: Arc<dyn Duties>,
    seat: DutyLease,
    book: WindowTotals,
    /// Next record of the usage topic.
    next: u64,
    reported: BTreeMap<u64, bool>,
    capacity: Capacity,
    held: bool,
}

/// Contends for the seat and does the duties until it is dropped.
pub(super) async fn run_duties(node: Arc<Node>, log: Arc<dyn SharedLog>, duties: Arc<dyn Duties>) {
    let lease = node.settings.rules.lease;
    let times = DutyTiming {
        lease,
        // A call that was sent just before must end before others may claim.
        hold: lease.saturating_sub(duties.call_limit() * 2) * 2 / 3,
        renew: RENEW,
    };
    let jitter = Duration::from_millis(fastrand::u64(..CLAIM_JITTER_MS));
    let now = node.clock.now();
    let seat = DutyLease::new(now, node.settings.vm.clone(), node.inc, times, jitter);
    let mut desk = Desk {
        capacity: Capacity::new(node.clone(), duties.clone()),
        node,
        log,
        duties,
        seat,
        book: WindowTotals::default(),
        next: 0,
        reported: BTreeMap::new(),
        held: false,
    };
    loop {
        let pause = desk.look().await;
        desk.node.clock.sleep(pause).await;
    }
}

impl Desk {
    /// One look at the seat; returns the time until the next.
    async fn look(&mut self) -> Duration {
        if self.node.life.is_stopping() {
            self.note();
            return OTHER_PAUSE;
        }
        let now = self.node.clock.now();
        if !self.seat.is_holder() && !self.contends(now) {
            // A VM that begins to contend reads the log first.
            self.seat.require_read();
            self.note();
            return OTHER_PAUSE;
        }
        if (self.seat.must_read() || !self.seat.is_holder()) && !self.read().await {
            self.note();
            return FAILED_PAUSE;
        }
        if let DutyStep::Append(record, at) = self.seat.next_step(self.node.clock.now()) {
            self.append(&record, at).await;
        }
        self.note();
        if self.epoch().is_some() {
            self.usage().await;
            if self.node.settings.orders_capacity {
                self.capacity.work(&self.seat).await;
            }
        }
        if self.seat.is_holder() || self.seat.must_read() {
            HOLDER_PAUSE
        } else {
            OTHER_PAUSE
        }
    }

    /// Whether this VM contends for the seat: it reads the platform, and is one of the first of its zone to do
    /// so. When all VMs turn to the platform, the others leave the log alone.
    fn contends(&self, now: Stamp) -> bool {
        let before = self.node.peers.lock().readers(now).len();
        before < CONTENDERS && self.node.reads_platform(now)
    }

    fn epoch(&self) -> Option<Fence> {
        let epoch = self.seat.epoch(self.node.clock.now())?;
        Some(Fence { epoch })
    }

    /// Logs a change of what this VM believes of the seat.
    fn note(&mut self) {
        let epoch = self.epoch().map(|f| f.epoch.0);
        if self.held == epoch.is_some() {
            return;
        }
        self.held = epoch.is_some();
        match epoch {
            Some(epoch) => log::info!(epoch = epoch; "duties held"),
            None => {
                let holder = self.seat.holder().map_or("", |vm| vm.as_str());
                log::info!(holder = holder; "duties no longer held");
            }
        }
        self.capacity.reset(self.node.clock.now());
    }

    /// Reads the seat's log to its end; false when it cannot be read.
    async fn read(&mut self) -> bool {
        let from = self.seat.end_offset();
        match self.log.read(Topic::Duty, from, Duration::ZERO).await {
            Ok(entries) => {
                let now = self.node.clock.now();
                for (offset, bytes) in &entries.records {
                    match rmp_serde::from_slice::<DutyRecord>(bytes) {
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

    async fn append(&mut self, record: &DutyRecord, at: u64) -> bool {
        let Ok(bytes) = rmp_serde::to_vec(record) else {
            log::error!("duty record cannot be encoded");
            return false;
        };
        self.seat.append_started(self.node.clock.now());
        match self.log.append(Topic::Duty, &bytes, Some(at)).await {
            Ok(Appended::At(offset)) => {
                self.seat.fold(self.node.clock.now(), offset, record);
                true
            }
            Ok(Appended::Moved(end)) => {
                log::info!(at = at, end = end; "duty record was overtaken");
                self.seat.require_read();
                false
            }
            Err(e) => {
                log::warn!(at = at, error:% = e; "duty record may be appended or not");
                self.seat.require_read();
                false
            }
        }
    }

    /// Reads counts, fixes the figures of ended windows, reports fixed ones.
    async fn usage(&mut self) {
        if !self.node.settings.reports_usage {
            return;
        }
        let now = self.node.clock.now();
        let length = self.node.settings.rules.window;
        let unix = self.node.time.unix(now);
        let ended = window_at(unix.saturating_sub(SEAL_AFTER), length).saturating_sub(1);
        let open: Vec<u64> = (ended.saturating_sub(OPEN_WINDOWS - 1)..=ended)
            .filter(|w| !self.reported.contains_key(w))
            .collect();
        if open.is_empty() || !self.read_counts().await {
            return;
        }
        for window in open {
            if self.seat.sealed(window).is_none() && !self.seal(window).await {
                return;
            }
            let counts = self.seat.sealed(window).map(|s| s.counts.clone());
            let Some(counts) = counts else {
                return;
            };
            if !self.report(window, &counts).await {
                return;
            }
        }
    }

    async fn seal(&mut self, window: u64) -> bool {
        let counts = self.book.total(window);
        let now = self.node.clock.now();
        match self.seat.seal(now, SealedWindow { window, counts }) {
            Some((record, at)) => self.append(&record, at).await,
            None => false,
        }
    }

    async fn report(&mut self, window: u64, counts: &BTreeMap<OrgId, u64>) -> bool {
        let Some(fence) = self.epoch() else {
            return false;
        };
        let sent = self.duties.report_usage(fence, window, counts).await;
        let total: u64 = counts.values().sum();
        match sent {
            Ok(()) => {
                log::info!(window = window, epoch = fence.epoch.0, requests = total; "usage reported");
                self.reported.insert(window, true);
                while self.reported.len() > 2 * OPEN_WINDOWS as usize {
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

    async fn read_counts(&mut self) -> bool {
        loop {
            let read = self.log.read(Topic::Usage, self.next, Duration::ZERO).await;
            let entries = match read {
                Ok(entries) => entries,
                Err(e) => {
                    log::warn!(error:% = e; "usage counts cannot be read");
                    return false;
                }
            };
            self.next = self.next.max(entries.first);
            for (offset, bytes) in entries.records {
                self.next = offset + 1;
                match rmp_serde::from_slice::<Vec<WindowCountRecord>>(&bytes) {
                    Ok(records) => records.into_iter().for_each(|r| self.book.fold(r)),
                    Err(e) => {
                        log::error!(offset = offset, error:% = e; "usage record cannot be decoded");
                    }
                }
            }
            if self.next >= entries.end {
                return true;
            }
        }
    }
}

/// Time between two records of this VM's counts: with one call that gets no answer it is below the time
/// after which a window is sealed.
const TALLY_PAUSE: Duration = Duration::from_millis(2_000);

/// Stores counts until it is dropped: those of this VM and of VMs that follow it.
pub(super) async fn store_counts(node: Arc<Node>, log: Arc<dyn SharedLog>) {
    loop {
        node.clock.sleep(TALLY_PAUSE).await;
        if node.reads_platform(node.clock.now()) || !node.relayed.lock().is_empty() {
            flush_counts(&node, &*log).await;
        }
    }
}

/// Stores the counts that changed.
pub(super) async fn flush_counts(node: &Node, log: &dyn SharedLog) {
    let changed = node.tally.lock().take_changed();
    let mut records = node.tally_records(changed);
    records.append(&mut node.relayed.lock());
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
        node.relayed.lock().extend(records);
    }
}
