//! Reads the usage counts of all VMs and reports ended windows, while this VM holds the duties.

use {
    super::Node,
    crate::adapter::{DutyApi, SharedLog, Topic},
    clock::Instant,
    coord::DutyPermit,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    types::{Era, OrgId},
    usage::{SealTiming, WindowCountRecord, WindowTotals, window_at},
};

/// Number of ended windows, counted from the newest, that are still reported.
const MAX_OPEN_WINDOWS: u64 = 4;
/// Largest number of VMs in a log line.
const MAX_LOGGED_VMS: usize = 10;

/// Collects the counts, and reports sealed windows.
pub(super) struct UsageReporter {
    node: Arc<Node>,
    log: Arc<dyn SharedLog>,
    duty_api: Arc<dyn DutyApi>,
    totals: WindowTotals,
    /// Era of the store in which the usage topic was read.
    era: Era,
    /// Offset of the next record to read from the usage topic.
    next_offset: u64,
    /// The latest windows that this VM has reported.
    reported: BTreeSet<u64>,
    /// When counts could last not be read.
    last_failure: Instant,
    last_look: Instant,
}

impl UsageReporter {
    pub(super) fn new(
        node: Arc<Node>,
        log: Arc<dyn SharedLog>,
        duty_api: Arc<dyn DutyApi>,
    ) -> Self {
        Self {
            last_failure: Instant::default(),
            node,
            log,
            duty_api,
            totals: WindowTotals::default(),
            era: Era::default(),
            next_offset: 0,
            reported: BTreeSet::new(),
            last_look: Instant::default(),
        }
    }

    /// The ended windows that this VM has not reported, oldest first.
    pub(super) fn open_windows(&self) -> Vec<u64> {
        let now = self.node.clock.now();
        let length = self.node.settings.bounds.usage_window;
        let ended = window_at(self.node.wall_clock.unix(now), length).saturating_sub(1);
        let latest = ended.saturating_sub(MAX_OPEN_WINDOWS - 1)..=ended;
        latest.filter(|w| !self.reported.contains(w)).collect()
    }

    /// The counts to seal a window with: once those of all VMs are known, or no time is left to
    /// wait for them.
    pub(super) async fn final_counts(&mut self, window: u64) -> Option<BTreeMap<OrgId, u64>> {
        let timing = self.timing(window);
        if !timing.should_look(self.node.clock.now()) {
            return None;
        }
        self.last_look = self.node.clock.now();
        if !self.read_counts().await {
            self.last_failure = self.node.clock.now();
            return None;
        }
        let missing = self.totals.missing(window);
        if !missing.is_empty() {
            let now = self.node.clock.now();
            let peers = self.node.peers.lock();
            let awaited = missing.iter().any(|(vm, inc)| peers.is_live(now, vm, *inc));
            drop(peers);
            if !timing.is_overdue(now, awaited) {
                return None;
            }
            let vms = missing.iter().map(|(vm, _)| vm.as_str());
            let vms: Vec<_> = vms.take(MAX_LOGGED_VMS).collect();
            log::warn!(
                window = window, missing = missing.len(), vms:? = vms,
                ended_ms = timing.ended.as_millis() as u64;
                "usage window sealed without the final counts of some VMs"
            );
        }
        // The next window needs no second read.
        self.last_look = Instant::default();
        Some(self.totals.total(window))
    }

    fn timing(&self, window: u64) -> SealTiming {
        let bounds = self.node.settings.bounds;
        let unix = self.node.wall_clock.unix(self.node.clock.now());
        let length = bounds.usage_window.as_nanos();
        let end = u128::from(window.saturating_add(1)).saturating_mul(length);
        let ended = unix.as_nanos().saturating_sub(end);
        let reads = self.node.freshness.lock().endpoints_span();
        let readable_since = reads.map_or(self.last_failure, |span| span.first);
        SealTiming {
            ended: Duration::from_nanos(u64::try_from(ended).unwrap_or(u64::MAX)),
            due: bounds.report_due,
            readable_since: readable_since.max(self.last_failure),
            last_look: self.last_look,
        }
    }

    /// Reports a sealed window; false on failure.
    pub(super) async fn report(
        &mut self,
        permit: DutyPermit,
        window: u64,
        counts: &BTreeMap<OrgId, u64>,
    ) -> bool {
        let total: u64 = counts.values().sum();
        match self.duty_api.report_usage(permit, window, counts).await {
            Ok(()) => {
                log::info!(window = window, epoch = permit.epoch.0, requests = total; "usage reported");
                self.close(window);
                true
            }
            Err(e) => {
                log::warn!(window = window, epoch = permit.epoch.0, error:% = e; "usage report failed");
                false
            }
        }
    }

    /// Leaves a window unreported: another holder may have reported figures that are lost.
    pub(super) fn give_up(&mut self, window: u64) {
        log::warn!(window = window; "usage window not reported: its figures are lost");
        metrics::counter!("celerystage_usage_windows_lost_total").increment(1);
        self.close(window);
    }

    fn close(&mut self, window: u64) {
        self.reported.insert(window);
        while self.reported.len() > 2 * MAX_OPEN_WINDOWS as usize {
            self.reported.pop_first();
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
            if batch.era < self.era {
                log::warn!(era:% = batch.era, known:% = self.era; "outdated answer of the usage log ignored");
                return false;
            }
            if batch.era > self.era || batch.end < self.next_offset {
                // Counts are cumulative, so that reading them again changes nothing.
                let is_first = self.next_offset == 0;
                self.era = batch.era;
                self.next_offset = 0;
                if !is_first {
                    continue;
                }
            }
            self.next_offset = self.next_offset.max(batch.first);
            for (offset, bytes) in batch.records {
                self.next_offset = offset + 1;
                match rmp_serde::from_slice::<Vec<WindowCountRecord>>(&bytes) {
                    Ok(records) => records.into_iter().for_each(|r| self.totals.fold(r)),
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
