//! Slots as the scarce resource of engines.
//!
//! The load pattern: engines have so few slots that these run out while memory and prefill have room. A burst of
//! short streams that hold their slots for long comes as a part of the engines is reclaimed, so that demand exceeds
//! the slots. Hundreds of VMs learn of it a second later.

use {
    super::{
        admission::{Admission, AdmissionRule},
        cost,
        load::Reporter,
        org_shares::OrgRow,
        placement_request::PlacementRequest,
        placer::Placer,
    },
    crate::SlotDemand,
    clock::Instant,
    std::time::Duration,
    types::{OrgId, Urgency},
};

/// Share of an engine's memory below which the requests of all its slots leave memory unused, so that slots are the
/// bottleneck.
const MAX_MEMORY_SHARE: f64 = 0.7;
/// Smallest number of samples for the mean memory to be used.
const MIN_REQUESTS: u32 = 10;
/// Weight of a new sample in that mean, at least.
const MEMORY_WEIGHT: f64 = 0.02;
/// Occupancy from which slots count as short, and how long they do; the hold time is needed as refusals lower the
/// occupancy.
const MIN_OCCUPANCY: f64 = 0.7;
const SHORT_TIME: Duration = Duration::from_secs(2);
/// Occupancy below which nothing is refused, whatever the demand.
const MIN_REFUSING_OCCUPANCY: f64 = 0.5;
/// Smallest admitted share of an urgency unless more urgent requests are refused, so that no class starves.
const MIN_SHARE: f64 = 0.15;
/// Accepted probability that this many engines in turn are full.
const MAX_BLOCKED: f64 = 0.05;
const TRIED_ENGINES: u32 = 2;
/// Target prefill utilisation of the engines for long prompts.
const BULK_UTILIZATION: f64 = 0.3;
/// Lower bound of the factor that reduces the usable slots while engines are oversubscribed.
const MIN_OVERLOAD_FACTOR: f64 = 0.5;
/// Resolution of the search for the usable share of the slots.
const SHARE_STEPS: u32 = 50;

/// Occupancy from which VMs report their largest organisations, below that from which slots count as short.
const MIN_REPORTING_OCCUPANCY: f64 = 0.6;

/// Mean memory of a request, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanMemory {
    value: f64,
    samples: u32,
}

impl MeanMemory {
    fn record(&mut self, tokens: u64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MEMORY_WEIGHT);
        self.value += weight * (tokens as f64 - self.value);
    }
}

/// Mean utilisation of an engine's slots at which requests are seldom blocked (Erlang B).
fn usable_share(slots: u32) -> f64 {
    let tried = slots.saturating_mul(TRIED_ENGINES);
    let shares = (1..SHARE_STEPS).rev();
    let mut shares = shares.map(|step| f64::from(step) / f64::from(SHARE_STEPS));
    let fits = |share: &f64| {
        super::brittleness::blocking_probability(tried, share * f64::from(tried)) <= MAX_BLOCKED
    };
    shares.find(fits).unwrap_or(1.0 / f64::from(SHARE_STEPS))
}

impl Placer {
    /// Records the slot demand of a request, whether it is admitted or not.
    pub(super) fn record_demand(&mut self, now: Instant, request: &PlacementRequest<'_>) {
        let (Some(profile), Some(prompt)) = (&self.profile, request.prompt) else {
            return;
        };
        // Retries of one request count once.
        if !request.avoid.is_empty() {
            return;
        }
        self.mean_memory.record(prompt.memory().0);
        self.request_meter.add(now, 1);
        let ms = self
            .run_times
            .expected_ms(profile, request.urgency, prompt.output.0);
        self.slot_meters[request.urgency.index()].add(now, ms as u64);
        if let Some(org) = request.org {
            self.org_shares.record(now, org, request.urgency, ms);
        }
    }

    /// Whether slots run out before memory does.
    pub fn is_slot_bound(&self) -> bool {
        let Some(profile) = &self.profile else {
            return false;
        };
        let slots = self.engine_slots();
        let full = f64::from(slots) * self.mean_memory.value;
        self.mean_memory.samples >= MIN_REQUESTS
            && slots > 0
            && full < MAX_MEMORY_SHARE * profile.memory.0 as f64
    }

    /// Slots of an engine.
    fn engine_slots(&self) -> u32 {
        self.profile.map_or(0, |p| p.slots)
    }

    /// Slot demand of the callers of this VM.
    pub fn slot_demand(&mut self, now: Instant) -> SlotDemand {
        let mut demand = SlotDemand::default();
        for (level, meter) in (0..Urgency::LEVELS).zip(&mut self.slot_meters) {
            demand.add(SlotDemand::new(Urgency(level), meter.newest_rate(now)));
        }
        demand
    }

    /// Sets the reported slot demand of other VMs.
    pub fn set_peer_demand(&mut self, reporter: &Reporter, demand: SlotDemand, until: Instant) {
        self.peer_demand.insert(reporter.clone(), (demand, until));
    }

    /// Sum of this VM's slot demand and that of matching reporters.
    pub fn summed_demand(
        &mut self,
        now: Instant,
        matches: impl Fn(&Reporter) -> bool,
    ) -> SlotDemand {
        let mut sum = self.slot_demand(now);
        let current = self.peer_demand.iter();
        let current = current.filter(|(reporter, (_, until))| *until > now && matches(reporter));
        current.for_each(|(_, (demand, _))| sum.add(*demand));
        sum
    }

    /// Slot demand of all VMs, as the number of engines whose slots it would fully occupy.
    pub fn slot_load(&mut self, now: Instant) -> f64 {
        self.peer_demand.retain(|_, (_, until)| *until > now);
        if !self.is_slot_bound() {
            return 0.0;
        }
        let demand = self.summed_demand(now, |_| true).total();
        demand as f64 / 1e3 / f64::from(self.engine_slots().max(1))
    }

    /// Sets the number of organisations in the configuration.
    pub fn set_org_count(&mut self, orgs: usize) {
        self.org_shares.orgs = orgs;
    }

    /// This VM's organisations with the highest slot demand, while slots are about to be short.
    pub fn org_rows(&self, now: Instant) -> Vec<OrgRow> {
        self.summed_org_rows(now, |_| false)
    }

    /// The same for this VM and those whose reporters match.
    pub fn summed_org_rows(
        &self,
        now: Instant,
        matches: impl Fn(&Reporter) -> bool,
    ) -> Vec<OrgRow> {
        if !self.is_slot_bound() || self.occupancy(now) < MIN_REPORTING_OCCUPANCY {
            return Vec::new();
        }
        self.org_shares.summed_rows(now, matches)
    }

    /// Sets the largest organisations that a peer has reported.
    pub fn set_peer_orgs(&mut self, reporter: &Reporter, rows: Vec<OrgRow>, until: Instant) {
        self.org_shares.set_peer(reporter, rows, until);
    }

    /// Share of the slots that are taken or waited for.
    fn occupancy(&self, now: Instant) -> f64 {
        let open = || self.endpoints.values().filter(|e| e.is_open(now));
        let slots: u32 = open().map(|e| e.spec.slots).sum();
        let taken: u32 = open().map(|e| cost::total_load(e, now).in_flight).sum();
        f64::from(taken) / f64::from(slots.max(1))
    }

    /// Whether slots are short, so that requests may be refused.
    pub fn is_short(&self, now: Instant) -> bool {
        now < self.short_until
    }

    /// Updates whether slots are short.
    pub(super) fn observe_occupancy(&mut self, now: Instant) {
        if self.is_slot_bound() && self.occupancy(now) >= MIN_OCCUPANCY {
            self.short_until = now + SHORT_TIME;
        }
    }

    /// Factor from the known demand to that of the fleet. A VM without reports of its peers assumes that its own
    /// demand is an equal part of the fleet's.
    fn demand_scale(&self, now: Instant) -> f64 {
        let reported = self.peer_demand.values().any(|(_, until)| *until > now);
        if reported {
            return 1.0;
        }
        f64::from(self.vms.max(1))
    }

    /// The admitted share of requests of this urgency and organisation: more urgent ones get slots first, and
    /// organisations of the same urgency share what is left.
    pub fn admission(&mut self, now: Instant, urgency: Urgency, org: Option<&OrgId>) -> Admission {
        if !self.is_short(now) || self.occupancy(now) < MIN_REFUSING_OCCUPANCY {
            return Admission::ALL;
        }
        let open = self.endpoints.values().filter(|e| e.is_open(now));
        let slots: u32 = open.map(|e| e.spec.slots).sum();
        let usable = usable_share(self.engine_slots());
        // An occupancy above the usable share shows that the reported demand is too low.
        let overload = (usable / self.occupancy(now)).powi(2);
        let overload = overload.clamp(MIN_OVERLOAD_FACTOR, 1.0);
        let room = 1e3 * f64::from(slots) * usable * overload;
        let scale = self.demand_scale(now);
        let demand = self.summed_demand(now, |_| true);
        let own = scale * demand.of(urgency) as f64;
        let ahead = scale * demand.ahead_of(urgency) as f64 - own;
        let least = if ahead < room { MIN_SHARE } else { 0.0 };
        let share = ((room - ahead) / own.max(1.0)).clamp(least, 1.0);
        let Some(org) = org.filter(|_| share < 1.0 && self.org_shares.orgs > 1) else {
            return Admission {
                share,
                rule: AdmissionRule::Urgency,
            };
        };
        let asked = (share * own / scale, own / scale);
        let of_org = self.org_shares.share(now, (org, urgency), asked);
        let rule = if of_org < share {
            AdmissionRule::Organisation
        } else {
            AdmissionRule::Urgency
        };
        Admission {
            share: of_org,
            rule,
        }
    }

    /// Engines that the long prompts need; `None` unless slots are short.
    pub(super) fn bulk_engines(&self, now: Instant) -> Option<usize> {
        let profile = self.profile.filter(|_| self.is_short(now))?;
        let current = self.peer_rates.values().filter(|(_, until)| *until > now);
        let others: u64 = current.map(|(rate, _)| rate).sum();
        let rate = others + self.prompt_meter.last_rate();
        let engines = rate as f64 / (profile.prefill_rate * 1e3) / BULK_UTILIZATION;
        Some(engines.ceil() as usize)
    }

    /// Mean interval in milliseconds at which a full engine frees a slot; `None` unless slots are short.
    pub(super) fn slot_interval_ms(&mut self, now: Instant) -> Option<f64> {
        let profile = self.profile.filter(|_| self.is_short(now))?;
        let demand = self.slot_demand(now);
        let requests = self.request_meter.newest_rate(now);
        let run_ms = match requests {
            0 => self.run_times.expected_ms(&profile, Urgency(0), 100),
            requests => demand.total() as f64 / requests as f64,
        };
        Some(run_ms / f64::from(self.engine_slots().max(1)))
    }
}
