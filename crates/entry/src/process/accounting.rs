//! Counts usage and attainment of latency targets by organisation.

use {
    super::EntrySettings,
    clock::SharedClock,
    conf::{Class, Config},
    mesh::Store,
    parking_lot::Mutex,
    slo::{ResponseTiming, SloMeter, burns_budget},
    std::{sync::Arc, time::Duration},
    types::{ClassId, Incarnation, OrgId, Reason, Tokens, ZoneId},
    usage::{ChunkSource, PullRequest, UsageCounter},
    wire::{from_msgpack, to_msgpack},
};

/// Longest time that a shutdown waits for the usage to be collected.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(3);
const COLLECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Usage and SLO counters of the process. Neither lock is held while the other is taken.
pub(crate) struct Accounting {
    clock: SharedClock,
    zone: ZoneId,
    usage: Mutex<UsageCounter>,
    meter: Mutex<SloMeter>,
}

impl Accounting {
    /// Creates empty counters.
    pub(super) fn new(
        settings: &EntrySettings,
        incarnation: Incarnation,
        clock: SharedClock,
    ) -> Arc<Self> {
        let source = ChunkSource {
            vm: settings.vm.clone(),
            incarnation,
        };
        let unit = Duration::from_millis(settings.slo_ms);
        let meter = SloMeter::new(clock.now(), settings.zone.clone(), unit);
        Arc::new(Self {
            clock,
            zone: settings.zone.clone(),
            usage: Mutex::new(UsageCounter::new(source)),
            meter: Mutex::new(meter),
        })
    }

    /// Records a request that was answered completely.
    pub(crate) fn record_served(&self, class: &Class, org: &OrgId, timing: ResponseTiming) {
        let (ResponseTiming::Stream { tokens, .. } | ResponseTiming::Whole { tokens, .. }) = timing;
        self.record_usage(org, tokens);
        let now = self.clock.now();
        self.meter.lock().record_response(now, class, org, timing);
    }

    /// Records usage only, without an SLO sample.
    pub(crate) fn record_usage(&self, org: &OrgId, tokens: Tokens) {
        self.usage.lock().count(org, tokens);
    }

    /// Records a request that was refused or cut off. It is ignored if the reason is the caller's
    /// fault, which doesn't count against the error budget.
    pub(crate) fn record_refused(&self, class: &ClassId, org: &OrgId, reason: Reason) {
        if !burns_budget(reason) {
            return;
        }
        let now = self.clock.now();
        self.meter.lock().record_failure(now, class, org);
    }

    /// Records the number of endpoints in this zone, steady and cheap.
    pub(super) fn record_endpoints(&self, store: &Store) {
        let own = store.zones().filter(|z| z.zone == self.zone);
        let kinds: Vec<bool> = own.flat_map(|z| &z.endpoints).map(|e| e.cheap).collect();
        let cheap = kinds.iter().filter(|is_cheap| **is_cheap).count();
        let now = self.clock.now();
        let mut meter = self.meter.lock();
        meter.set_endpoints(now, kinds.len() - cheap, cheap);
    }

    /// Handles the pull of a usage collector; `None` if it cannot be decoded.
    pub(super) fn handle_pull(&self, body: &[u8]) -> Option<Vec<u8>> {
        let request: PullRequest = from_msgpack(body).ok()?;
        let response = self.usage.lock().handle_pull(&request);
        to_msgpack(&response).ok()
    }

    /// The SLO report as JSON.
    pub(super) fn slo_page(&self, config: &Config) -> Vec<u8> {
        let now = self.clock.now();
        let snapshot = self.meter.lock().snapshot(now, config);
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// Waits until a collector has pulled all usage, for a limited time.
    pub(super) async fn wait_collected(&self) {
        let deadline = self.clock.now() + COLLECT_TIMEOUT;
        while self.clock.now() < deadline && !self.usage.lock().is_collected() {
            self.clock.sleep(COLLECT_POLL_INTERVAL).await;
        }
    }
}
