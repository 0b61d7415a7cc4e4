//! The placer of one service.

use {
    super::{
        cost,
        drift::Drift,
        health::Health,
        load::{Foreign, Load, PeerLoad},
        meter::Meter,
        parts::Parts,
        profile::EngineProfile,
    },
    crate::Prompt,
    clock::Stamp,
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, PartId, Tier, VmId, ZoneId},
};

/// Share of failures that is left after each second of forgiving.
const FORGIVEN: f64 = 0.7;
/// Time between two rounds of forgiving.
const FORGIVE_EVERY: Duration = Duration::from_secs(1);

/// Facts of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSpec {
    /// Identifier.
    pub id: EndpointId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be reclaimed at short notice.
    pub cheap: bool,
    /// When it started; a restart empties its cache.
    pub started: u64,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Availability zone of this VM.
    pub zone: &'a ZoneId,
    /// Tier.
    pub tier: Tier,
    /// Time to the first token, or to the answer, that is on time.
    pub target: Duration,
    /// Longest pause between events that is on time.
    pub max_pause: Option<Duration>,
    /// Prompt of a generation.
    pub prompt: Option<&'a Prompt>,
    /// Endpoints that failed or refused the request.
    pub avoid: &'a [EndpointId],
}

/// A chosen endpoint. It is given back by [`Placer::finish`].
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub id: EndpointId,
    /// Predicted time to the first token or the answer.
    pub predicted: Duration,
    /// The part of it that is spent on other requests.
    pub queue_delay: Duration,
    /// Endpoint that likely has the shared parts which this one lacks.
    pub kv_source: Option<EndpointId>,
    /// Load that the request adds.
    pub load: Load,
}

/// How a placed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// With a whole answer.
    Completed,
    /// With a failure of the endpoint.
    Failed,
    /// With a refusal: the endpoint is full, or another one.
    Refused,
    /// No connection could be had, or it went silent.
    Unreachable,
    /// The caller or this VM ended it; says nothing of the endpoint.
    Cancelled,
}

#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) place: EndpointSpec,
    pub(super) open: bool,
    /// When it was listed, or started again.
    pub(super) since: Stamp,
    pub(super) own: Load,
    pub(super) foreign: Foreign,
    pub(super) health: Health,
    pub(super) parts: Parts,
    /// Mean time to an answer, in milliseconds.
    pub(super) latency: f64,
    /// Until when it is taken as full after a refusal.
    pub(super) full: Stamp,
}

/// Time that an endpoint which refused a request as full is passed over.
const FULL_SPAN: Duration = Duration::from_millis(150);
/// Weight of the newest answer in the mean latency.
const NEWEST: f64 = 0.1;

/// Chooses endpoints of one service.
#[derive(Debug, Default)]
pub struct Placer {
    /// Engines of a service that generates.
    pub(super) profile: Option<EngineProfile>,
    pub(super) rows: BTreeMap<EndpointId, Row>,
    forgave: Stamp,
    meter: Meter,
    pub(super) drift: Drift,
    /// Tokens a second of other VMs, and until when they count.
    rates: BTreeMap<VmId, (u64, Stamp)>,
}

impl Placer {
    /// A placer; `profile` describes the engines of a service that generates.
    pub fn new(profile: Option<EngineProfile>) -> Self {
        Self {
            profile,
            ..Self::default()
        }
    }

    /// Adds an endpoint or replaces its facts.
    pub fn upsert_endpoint(&mut self, now: Stamp, place: EndpointSpec) {
        let row = self.rows.entry(place.id.clone()).or_insert_with(|| Row {
            place: place.clone(),
            open: true,
            since: now,
            own: Load::default(),
            foreign: Foreign::default(),
            health: Health::default(),
            parts: Parts::default(),
            latency: 0.0,
            full: Stamp::default(),
        });
        if row.place.started != place.started {
            row.parts.clear();
            row.since = now;
            row.health = Health::default();
        }
        row.place = place;
        row.open = true;
    }

    /// Takes an endpoint out of the choice; its requests go on.
    pub fn remove_endpoint(&mut self, id: &EndpointId) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        row.open = false;
        if row.own.in_flight == 0 {
            self.rows.remove(id);
        }
    }

    /// Chooses an endpoint and counts the request there.
    pub fn place(&mut self, now: Stamp, wish: &PlacementRequest<'_>) -> Option<Placement> {
        self.forgive(now);
        let choice = cost::cheapest(self, now, wish)?;
        let row = self.rows.get_mut(&choice.id)?;
        row.own.add(choice.load);
        self.meter.add(now, choice.load.total_prefill());
        row.health.asked(now);
        if let Some(prompt) = wish.prompt {
            row.parts.touch(now, &prompt.parts);
        }
        Some(choice)
    }

    /// Tells that the first token, or the whole answer, came after `took`.
    pub fn first_response(&mut self, now: Stamp, choice: &mut Placement, took: Duration) {
        let Some(row) = self.rows.get_mut(&choice.id) else {
            return;
        };
        row.health.heard(now);
        let read = Load {
            pending_prefill: choice.load.pending_prefill,
            ..Load::default()
        };
        row.own.sub(read);
        choice.load.pending_prefill = Default::default();
        if let Some(profile) = &self.profile {
            self.drift.heard(profile, choice.predicted, took);
        }
        let ms = took.as_secs_f64() * 1e3;
        row.latency = match row.latency {
            mean if mean > 0.0 => mean + NEWEST * (ms - mean),
            _ => ms,
        };
    }

    /// Tells that more of an answer came.
    pub fn progress(&mut self, now: Stamp, id: &EndpointId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.health.heard(now);
        }
    }

    /// Gives a choice back.
    pub fn finish(&mut self, now: Stamp, choice: &Placement, how: PlacementOutcome) {
        let Some(row) = self.rows.get_mut(&choice.id) else {
            return;
        };
        row.own.sub(choice.load);
        match how {
            PlacementOutcome::Completed => row.health.answered(true),
            PlacementOutcome::Failed => row.health.answered(false),
            PlacementOutcome::Refused => row.full = now + FULL_SPAN,
            PlacementOutcome::Unreachable => row.health.unreachable(now),
            PlacementOutcome::Cancelled if row.health.is_silent(now) => row.health.unreachable(now),
            PlacementOutcome::Cancelled => {}
        }
        if matches!(
            how,
            PlacementOutcome::Completed | PlacementOutcome::Failed | PlacementOutcome::Refused
        ) {
            row.health.heard(now);
        }
        if row.own.in_flight == 0 {
            row.health.idle();
            if !row.open {
                self.rows.remove(&choice.id);
            }
        }
    }

    /// Whether an endpoint has shown no sign of life for long, to any of this VM's requests.
    pub fn is_silent(&self, now: Stamp, id: &EndpointId) -> bool {
        self.rows.get(id).is_some_and(|r| r.health.is_silent(now))
    }

    /// Takes in what another VM says of its requests at an endpoint.
    pub fn set_peer_load(&mut self, vm: &VmId, id: &EndpointId, load: PeerLoad) {
        if let Some(row) = self.rows.get_mut(id) {
            row.foreign.set(vm, load);
        }
    }

    /// Own load by endpoint, for other VMs.
    pub fn own_loads(&self) -> impl Iterator<Item = (&EndpointId, Load)> {
        let rows = self.rows.iter().filter(|(_, r)| r.own.in_flight > 0);
        rows.map(|(id, r)| (id, r.own))
    }

    /// Requests in flight at all endpoints, of this VM and of the others.
    pub fn in_flight(&self, now: Stamp) -> u32 {
        let rows = self.rows.values();
        rows.map(|r| r.own.in_flight + r.foreign.sum(now).in_flight)
            .sum()
    }

    /// Slots of all endpoints that take work.
    pub fn slots(&self) -> u32 {
        let open = self.rows.values().filter(|r| r.open);
        open.map(|r| r.place.slots).sum()
    }

    /// Prompt tokens a second that this VM has to be read.
    pub fn prompt_rate(&mut self, now: Stamp) -> u64 {
        self.meter.rate(now)
    }

    /// Takes in the tokens a second of another VM.
    pub fn set_peer_rate(&mut self, vm: &VmId, rate: u64, until: Stamp) {
        self.rates.insert(vm.clone(), (rate, until));
    }

    /// Work of all VMs, in engines that it would fill completely.
    pub fn offered_load(&mut self, now: Stamp) -> f64 {
        self.rates.retain(|_, (_, until)| *until > now);
        let others: u64 = self.rates.values().map(|(rate, _)| rate).sum();
        let rate = self.meter.rate(now) + others;
        self.profile
            .map_or(0.0, |p| rate as f64 / (p.prefill_rate * 1e3))
    }

    /// Whether some open endpoint likely has the part cached, as far as this VM knows.
    pub fn has_cached(&self, now: Stamp, part: PartId) -> bool {
        self.rows.values().any(|r| r.open && r.parts.has(now, part))
    }

    fn forgive(&mut self, now: Stamp) {
        if now.since(self.forgave) < FORGIVE_EVERY {
            return;
        }
        self.forgave = now;
        for row in self.rows.values_mut() {
            row.health.forgive(FORGIVEN);
        }
    }
}
