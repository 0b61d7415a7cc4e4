//! Placement of the requests of one service.

use {
    super::{
        brittleness::Brittleness,
        cached_parts::CachedParts,
        cold::ColdPolicy,
        correction::PrefillCorrection,
        cost,
        endpoint_spec::EndpointSpec,
        health::Health,
        load::{Load, PeerLoads, Reporter},
        org_shares::OrgShares,
        outcomes::RecentOutcomes,
        placement_request::PlacementRequest,
        profile::EngineProfile,
        rate_meter::RateMeter,
        request_placement::{Placement, PlacementOutcome},
        run_times::RunTimes,
        slot_room::MeanMemory,
        tracked_endpoint::TrackedEndpoint,
    },
    crate::{Activity, FleetRank, SlotDemand, notice::HeldRank},
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{EndpointId, PromptPartId, Urgency, ZoneId},
};

/// Factor by which failure shares decay in each interval.
const FAILURE_DECAY: f64 = 0.7;
/// Interval of the decay of failure shares.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an endpoint is assumed to be full after it refused a request.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Weight of a new sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Time without activity of any endpoint after which this VM may be cut off from them.
const CONTACT_TIME: Duration = Duration::from_secs(1);

/// Silence of an endpoint with requests from which it is no place for those of another silent one.
const MAX_OTHER_SILENCE: Duration = Duration::from_millis(700);

/// Chooses endpoints for the requests of one service.
#[derive(Debug, Default)]
pub struct Placer {
    /// Engine profile; `None` for a plain service.
    pub(super) profile: Option<EngineProfile>,
    pub(super) endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    /// When the failure shares were last decayed.
    last_decay: Instant,
    pub(super) prompt_meter: RateMeter,
    /// Slot demand of the callers by urgency, in milliseconds, and their requests.
    pub(super) slot_meters: [RateMeter; Urgency::LEVELS as usize],
    pub(super) request_meter: RateMeter,
    /// Slot demand of other VMs, with the time when the report expires.
    pub(super) peer_demand: BTreeMap<Reporter, (SlotDemand, Instant)>,
    pub(super) org_shares: OrgShares,
    pub(super) run_times: RunTimes,
    pub(super) mean_memory: MeanMemory,
    /// Number of VMs and the mean age of their load reports.
    pub(super) vms: u32,
    pub(super) load_age: Duration,
    /// Until when slots count as short.
    pub(super) short_until: Instant,
    /// Mean interval in milliseconds at which a full engine frees a slot, as of the last placement.
    pub(super) slot_interval: Option<f64>,
    pub(super) correction: PrefillCorrection,
    /// Prompt tokens per second of other VMs, with the time when the report expires.
    pub(super) peer_rates: BTreeMap<Reporter, (u64, Instant)>,
    /// Position of this VM in the fleet; `None` while it is unknown.
    pub(super) rank: Option<FleetRank>,
    /// The position by which this VM shares in the rates of cold endpoints.
    pub(super) held_rank: HeldRank,
    /// Rate limit of cold endpoints; `None` if there is none.
    pub(super) cold_policy: Option<ColdPolicy>,
    /// Availability zones whose endpoints take no requests.
    pub(super) evacuated: BTreeSet<ZoneId>,
    /// Correction of forecasts at cold engines; `None` until one has been measured.
    pub(super) cold_correction: Option<PrefillCorrection>,
    /// What the endpoints say of how they bear refusals.
    pub(super) brittleness: Brittleness,
    /// When the last caller may retry that was refused because of the endpoints' limits.
    pub(super) last_return: Instant,
}

impl Placer {
    /// A placer without endpoints; `profile` describes the engines of a generation service.
    pub fn new(profile: Option<EngineProfile>) -> Self {
        Self {
            profile,
            ..Self::default()
        }
    }

    /// Adds an endpoint or updates its properties.
    pub fn upsert_endpoint(&mut self, now: Instant, spec: EndpointSpec) {
        let entry = self
            .endpoints
            .entry(spec.id.clone())
            .or_insert_with(|| TrackedEndpoint {
                spec: spec.clone(),
                open: true,
                cold_since: now,
                own_load: Load::default(),
                peer_loads: PeerLoads::default(),
                health: Health::default(),
                outcomes: RecentOutcomes::default(),
                cached_parts: CachedParts::default(),
                latency_ms: 0.0,
                full_until: Instant::default(),
                closed_until: Instant::default(),
                limiter: None,
                named_limit: None,
                brittle_limit: None,
                rest_until: Instant::default(),
                cold_until: Instant::default(),
                suspected_until: Instant::default(),
                cold_limited: false,
                evacuated: false,
            });
        if spec.is_restart_of(&entry.spec) {
            entry.cached_parts.clear();
            entry.cold_since = now;
            entry.health = Health::default();
            entry.outcomes = RecentOutcomes::default();
            entry.closed_until = Instant::default();
            entry.rest_until = Instant::default();
            entry.named_limit = None;
            entry.cold_until = Instant::default();
            entry.suspected_until = Instant::default();
        }
        let id = spec.id.clone();
        entry.evacuated = self.evacuated.contains(&spec.zone);
        entry.spec = spec;
        entry.open = true;
        self.apply_limits(now, &id);
    }

    /// Stops placing requests at an endpoint; those in flight go on.
    pub fn remove_endpoint(&mut self, id: &EndpointId) {
        let Some(entry) = self.endpoints.get_mut(id) else {
            return;
        };
        entry.open = false;
        if entry.own_load.in_flight == 0 {
            self.endpoints.remove(id);
        }
    }

    /// Share of the latest sends that the endpoints refused, of all VMs.
    pub fn refusal_share(&self, now: Instant) -> f64 {
        let mut total = Load::default();
        let open = self.endpoints.values().filter(|e| e.open);
        open.for_each(|e| total.add(cost::total_load(e, now)));
        total.outcomes.refusal_share()
    }

    /// Chooses an endpoint and adds the request to its load.
    pub fn place(&mut self, now: Instant, request: &PlacementRequest<'_>) -> Option<Placement> {
        self.decay_failures(now);
        self.expire_brittle(now);
        self.expire_cold(now);
        self.record_demand(now, request);
        self.observe_occupancy(now);
        self.slot_interval = self.slot_interval_ms(now);
        let Some(placement) = cost::cheapest(self, now, request) else {
            // Demand that no endpoint takes counts for the sizer as well.
            if let Some(prompt) = request.prompt.filter(|_| self.reopens_in(now).is_some()) {
                let own = prompt.input.0.saturating_sub(prompt.shared_tokens());
                self.prompt_meter.add(now, own);
            }
            return None;
        };
        let entry = self.endpoints.get_mut(&placement.id)?;
        entry.own_load.add(placement.load);
        if let Some(limiter) = &mut entry.limiter {
            limiter.own.take(now);
        }
        self.prompt_meter
            .add(now, placement.load.pending_prefill.total());
        entry.health.record_request(now);
        if let Some(prompt) = request.prompt {
            entry.cached_parts.insert(now, &prompt.parts);
        }
        Some(placement)
    }

    /// Time that a new request of `urgency` would wait at the engine of a placement if that one had
    /// not been made.
    pub fn queue_delay(&self, now: Instant, placement: &Placement, urgency: Urgency) -> Duration {
        let (Some(profile), Some(entry)) = (&self.profile, self.endpoints.get(&placement.id))
        else {
            return Duration::ZERO;
        };
        let mut total = cost::total_load(entry, now);
        total.sub(placement.load);
        let correction = self.prefill_correction(entry, now);
        let interval = self.slot_interval;
        let ms = cost::queue_delay_ms(profile, &total, entry, urgency, (correction, interval));
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Ratio of measured to forecast prefill times at an endpoint.
    pub(super) fn prefill_correction(&self, entry: &TrackedEndpoint, now: Instant) -> f64 {
        let cold = self.cold_correction.as_ref();
        let cold = cold.filter(|_| entry.cold_limited && entry.is_cold(now));
        cold.unwrap_or(&self.correction).factor()
    }

    /// Records that the first token, or the response of a plain service, arrived after `took`.
    pub fn record_first_response(
        &mut self,
        now: Instant,
        placement: &mut Placement,
        took: Duration,
    ) {
        let Some(entry) = self.endpoints.get_mut(&placement.id) else {
            return;
        };
        entry.health.record_activity(now);
        entry.outcomes.record(now, false);
        let prefilled = Load {
            pending_prefill: placement.load.pending_prefill,
            ..Load::default()
        };
        entry.own_load.sub(prefilled);
        placement.load.pending_prefill = Default::default();
        placement.first = Some(now);
        if let Some(profile) = &self.profile {
            let warm = &mut self.correction;
            let correction = if placement.cold {
                self.cold_correction.get_or_insert_with(|| warm.clone())
            } else {
                warm
            };
            correction.record(profile, placement.predicted, took);
        }
        let ms = took.as_secs_f64() * 1e3;
        entry.latency_ms = match entry.latency_ms {
            mean if mean > 0.0 => mean + LATENCY_WEIGHT * (ms - mean),
            _ => ms,
        };
    }

    /// Records that more of a response arrived.
    pub fn record_progress(&mut self, now: Instant, id: &EndpointId) {
        if let Some(entry) = self.endpoints.get_mut(id) {
            entry.health.record_activity(now);
        }
    }

    /// Releases a placement and updates the endpoint's health by the outcome.
    pub fn finish(&mut self, now: Instant, placement: &Placement, outcome: PlacementOutcome) {
        let Some(entry) = self.endpoints.get_mut(&placement.id) else {
            return;
        };
        entry.own_load.sub(placement.load);
        match outcome {
            PlacementOutcome::Completed => {
                entry.health.record_result(true);
                if let Some(held) = self.profile.and_then(|p| placement.held(&p, now)) {
                    let (urgency, output) = (placement.urgency, placement.output);
                    self.run_times.record(urgency, output, held);
                }
                self.brittleness.record_work(now.since(placement.placed));
            }
            PlacementOutcome::Failed => entry.health.record_result(false),
            PlacementOutcome::Refused => {
                entry.full_until = now + FULL_BACKOFF;
                entry.outcomes.record(now, true);
                entry.rest_if_brittle(now);
            }
            PlacementOutcome::Unreachable => entry.health.back_off(now),
            PlacementOutcome::Cancelled if entry.health.is_silent(now) => {
                entry.health.back_off(now);
            }
            PlacementOutcome::Cancelled => {}
            PlacementOutcome::Unsent => {
                if let Some(limiter) = &mut entry.limiter {
                    limiter.own.give_back(now);
                }
            }
        }
        if matches!(
            outcome,
            PlacementOutcome::Completed | PlacementOutcome::Failed | PlacementOutcome::Refused
        ) {
            entry.health.record_activity(now);
        }
        if entry.own_load.in_flight == 0 {
            entry.health.record_idle();
            if !entry.open {
                self.endpoints.remove(&placement.id);
            }
        }
        if outcome == PlacementOutcome::Unreachable {
            self.suspect_restart(now, &placement.id);
        }
    }

    /// Whether an endpoint with waiting requests of this VM has shown no activity for long.
    pub fn is_silent(&self, now: Instant, id: &EndpointId) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|e| e.health.is_silent(now))
    }

    /// When the endpoint sent anything to this VM; `None` if it never did.
    pub fn activity(&self, now: Instant, id: &EndpointId) -> Option<Activity> {
        self.endpoints.get(id)?.health.activity(now)
    }

    /// Time since any endpoint sent something to this VM; `None` if none did, or no request is in flight.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let endpoints = || self.endpoints.values();
        if endpoints().all(|e| e.own_load.in_flight == 0) {
            return None;
        }
        let activity = endpoints().filter_map(|e| e.health.activity(now));
        activity.map(|a| a.last).min()
    }

    /// Forgets failures and silences that were not the endpoints' own.
    pub fn reset_health(&mut self) {
        let endpoints = self.endpoints.values_mut();
        endpoints.for_each(|e| {
            e.health.forgive();
            e.suspected_until = Instant::default();
        });
    }

    /// Whether there is an endpoint beside `avoid` that takes a request and isn't known to be silent.
    pub fn has_other(&self, now: Instant, avoid: &[EndpointId]) -> bool {
        let others = self.endpoints.iter().filter(|(id, _)| !avoid.contains(id));
        let mut open = others.filter(|(_, e)| e.accepts(now));
        open.any(|(_, e)| {
            let busy = e.own_load.in_flight > 0;
            let active = e.health.heard_within(now, MAX_OTHER_SILENCE);
            !e.health.is_silent(now) && (active || !busy)
        })
    }

    /// Whether this VM lately heard of other endpoints in the availability zone of this one, or of any
    /// if there are none. Otherwise the VM may be cut off.
    pub fn has_contact(&self, now: Instant, id: &EndpointId) -> bool {
        let zone = self.endpoints.get(id).map(|e| &e.spec.zone);
        let others = || self.endpoints.iter().filter(|(other, _)| *other != id);
        let neighbours = || others().filter(|(_, e)| Some(&e.spec.zone) == zone);
        let hears = |e: &TrackedEndpoint| e.health.heard_within(now, CONTACT_TIME);
        if neighbours().next().is_some() {
            return neighbours().any(|(_, e)| hears(e));
        }
        others().any(|(_, e)| hears(e))
    }

    /// Whether an open endpoint likely has the part cached, as far as this VM knows.
    pub fn has_cached(&self, now: Instant, part: PromptPartId) -> bool {
        self.endpoints
            .values()
            .any(|e| e.is_usable() && e.cached_parts.contains(now, part))
    }

    fn decay_failures(&mut self, now: Instant) {
        if now.since(self.last_decay) < DECAY_INTERVAL {
            return;
        }
        self.last_decay = now;
        for entry in self.endpoints.values_mut() {
            entry.health.decay_failures(FAILURE_DECAY);
        }
    }
}
