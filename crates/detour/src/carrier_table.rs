//! The VMs that may carry requests, and the choice among them.
//!
//! Requests are spread over all VMs that reach the endpoints, by their CPU shares: the VMs of the own
//! availability zone alone would be overloaded when most of the zone is cut off.

use {
    crate::Carrier,
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::{VmId, ZoneId},
};

/// Time for which a VM counts as a carrier without being named again.
const MEMORY: Duration = Duration::from_secs(3);
/// Time for which a carrier isn't used after it failed.
const BACKOFF: Duration = Duration::from_secs(1);
/// Carriers that are compared for a request.
const SAMPLE: usize = 3;
/// Cost of a detour through an availability zone that is neither the VM's nor the endpoint's, as a number of
/// requests in flight at a carrier with a whole core.
const CROSSING_COST: f64 = 2.0;
/// Cores that a carrier counts with at least.
const MIN_CORES: f64 = 0.01;

#[derive(Debug, Clone)]
struct Entry {
    carrier: Carrier,
    /// When it was last named as a carrier, unless it no longer is one.
    named: Option<Instant>,
    failed_until: Instant,
    /// Requests of this VM that it carries now.
    in_flight: u32,
}

impl Entry {
    fn is_known(&self, now: Instant) -> bool {
        self.named.is_some_and(|at| now.since(at) < MEMORY)
    }

    fn cores(&self) -> f64 {
        (f64::from(self.carrier.millicores) / 1e3).max(MIN_CORES)
    }

    fn cost(&self, zones: &[&ZoneId]) -> f64 {
        let crosses = !zones.contains(&&self.carrier.zone);
        let crossing = if crosses { CROSSING_COST } else { 0.0 };
        f64::from(self.in_flight) / self.cores() + crossing
    }
}

/// The carriers that one VM knows.
#[derive(Debug)]
pub struct CarrierTable {
    entries: BTreeMap<VmId, Entry>,
    rng: fastrand::Rng,
}

impl CarrierTable {
    /// An empty table; `seed` makes the choices of VMs differ.
    pub fn new(seed: u64) -> Self {
        Self {
            entries: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Records the carriers as they are known now, all of them or those of one zone. The others that are known
    /// of it are no longer used.
    pub fn replace(
        &mut self,
        now: Instant,
        zone: Option<&ZoneId>,
        carriers: impl IntoIterator<Item = Carrier>,
    ) {
        for entry in self.entries.values_mut() {
            if zone.is_none_or(|z| *z == entry.carrier.zone) {
                entry.named = None;
            }
        }
        for carrier in carriers {
            let entry = self.entries.entry(carrier.vm.clone());
            let entry = entry.or_insert_with(|| Entry {
                carrier: carrier.clone(),
                named: None,
                failed_until: Instant::default(),
                in_flight: 0,
            });
            entry.carrier = carrier;
            entry.named = Some(now);
        }
        let used = |e: &Entry| e.is_known(now) || e.in_flight > 0 || e.failed_until > now;
        self.entries.retain(|_, e| used(e));
    }

    /// Whether a VM is known as a carrier.
    pub fn knows(&self, now: Instant, vm: &VmId) -> bool {
        self.entries.get(vm).is_some_and(|e| e.is_known(now))
    }

    fn usable(&self, now: Instant, avoid: &[VmId]) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |e| {
            let usable = e.is_known(now) && e.failed_until <= now;
            usable && !avoid.contains(&e.carrier.vm)
        })
    }

    /// Chooses a carrier beside `avoid` and counts a request there. `zones` are those of this VM and of
    /// the endpoint.
    pub fn acquire(&mut self, now: Instant, zones: &[&ZoneId], avoid: &[VmId]) -> Option<Carrier> {
        let mut rng = self.rng.fork();
        let candidates: Vec<_> = self.usable(now, avoid).collect();
        let total: f64 = candidates.iter().map(|e| e.cores()).sum();
        let mut draw = || {
            let mut rest = rng.f64() * total;
            let hit = candidates.iter().find(|e| {
                rest -= e.cores();
                rest < 0.0
            });
            hit.or(candidates.last())
        };
        let drawn = (0..SAMPLE).filter_map(|_| draw());
        let best = drawn.min_by(|a, b| a.cost(zones).total_cmp(&b.cost(zones)))?;
        let carrier = best.carrier.clone();
        if let Some(entry) = self.entries.get_mut(&carrier.vm) {
            entry.in_flight += 1;
        }
        Some(carrier)
    }

    /// Counts a request as ended.
    pub fn release(&mut self, vm: &VmId) {
        if let Some(entry) = self.entries.get_mut(vm) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Records that a carrier couldn't take a request, for a reason of its own.
    pub fn record_failure(&mut self, now: Instant, vm: &VmId) {
        if let Some(entry) = self.entries.get_mut(vm) {
            entry.failed_until = now + BACKOFF;
        }
    }
}
