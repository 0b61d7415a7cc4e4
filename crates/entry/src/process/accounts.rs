//! What the process counts by organisation: usage, and answers against the targets of their class.

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

/// Longest wait of a planned stop for the usage to be collected.
const COLLECT_LIMIT: Duration = Duration::from_secs(3);
const COLLECT_POLL: Duration = Duration::from_millis(50);

/// Usage and answers of the process. Neither lock is held while the other is taken.
pub(crate) struct Accounts {
    clock: SharedClock,
    zone: ZoneId,
    ledger: Mutex<UsageCounter>,
    meter: Mutex<SloMeter>,
}

impl Accounts {
    /// Empty accounts.
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
            ledger: Mutex::new(UsageCounter::new(source)),
            meter: Mutex::new(meter),
        })
    }

    /// Counts a request that was answered whole.
    pub(crate) fn served(&self, class: &Class, org: &OrgId, timing: ResponseTiming) {
        let (ResponseTiming::Stream { tokens, .. } | ResponseTiming::Whole { tokens, .. }) = timing;
        self.taken(org, tokens);
        let now = self.clock.now();
        self.meter.lock().record_response(now, class, org, timing);
    }

    /// Counts the usage of a request, without a look at its targets.
    pub(crate) fn taken(&self, org: &OrgId, tokens: Tokens) {
        self.ledger.lock().count(org, tokens);
    }

    /// Counts a request that was refused or cut off, unless the reason is the caller's own.
    pub(crate) fn refused(&self, class: &ClassId, org: &OrgId, reason: Reason) {
        if !burns_budget(reason) {
            return;
        }
        let now = self.clock.now();
        self.meter.lock().record_failure(now, class, org);
    }

    /// Takes note of the zone's endpoints.
    pub(super) fn look(&self, store: &Store) {
        let own = store.zones().filter(|z| z.zone == self.zone);
        let endpoints: Vec<bool> = own.flat_map(|z| &z.endpoints).map(|e| e.cheap).collect();
        let cheap = endpoints.iter().filter(|cheap| **cheap).count();
        let now = self.clock.now();
        let mut meter = self.meter.lock();
        meter.set_endpoints(now, endpoints.len() - cheap, cheap);
    }

    /// Answers a collector of usage.
    pub(super) fn answer(&self, body: &[u8]) -> Option<Vec<u8>> {
        let request: PullRequest = from_msgpack(body).ok()?;
        let answer = self.ledger.lock().answer(&request);
        to_msgpack(&answer).ok()
    }

    /// The page of answers against targets, as JSON.
    pub(super) fn page(&self, config: &Config) -> Vec<u8> {
        let now = self.clock.now();
        let snapshot = self.meter.lock().snapshot(now, config);
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// Waits until a collector holds everything that was counted, for a limited time.
    pub(super) async fn collected(&self) {
        let limit = self.clock.now() + COLLECT_LIMIT;
        while self.clock.now() < limit && !self.ledger.lock().is_collected() {
            self.clock.sleep(COLLECT_POLL).await;
        }
    }
}
