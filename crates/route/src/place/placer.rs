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
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, PromptPartId, Tier, VmId, ZoneId},
};

/// Share of failures that is left after each second of forgiving.
const FORGIVEN: f64 = 0.7;
/// Time between two rounds of forgiving.
const FORGIVE_EVERY: Duration = Duration::from_secs(1);

/// Facts of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// Identifier.
    pub id: EndpointId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be reclaimed at short notice.
    pub cheap: bool,
    /// When it started; a restart empties its cache.
    pub born: u64,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// Availability zone of this VM.
    pub zone: &'a ZoneId,
    /// Tier.
    pub tier: Tier,
    /// Time to the first token, or to the answer, that is on time.
    pub target: Duration,
    /// Longest pause between events that is on time.
    pub pause: Option<Duration>,
    /// Prompt of a generation.
    pub prompt: Option<&'a Prompt>,
    /// Endpoints that failed or refused the request.
    pub avoid: &'a [EndpointId],
}

/// A chosen endpoint. It is given back by [`Placer::ended`].
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub id: EndpointId,
    /// Predicted time to the first token or the answer.
    pub expected: Duration,
    /// The part of it that is spent on other requests.
    pub ahead: Duration,
    /// Endpoint that likely has the shared parts which this one lacks.
    pub fetch: Option<EndpointId>,
    /// Load that the request adds.
    pub load: Load,
}

/// How a placed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With a whole answer.
    Whole,
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
    pub(super) place: Place,
    pub(super) open: bool,
    /// When it was listed, or started again.
    pub(super) since: Instant,
    pub(super) own: Load,
    pub(super) foreign: Foreign,
    pub(super) health: Health,
    pub(super) parts: Parts,
    /// Mean time to an answer, in milliseconds.
    pub(super) latency: f64,
    /// Until when it is taken as full after a refusal.
    pub(super) full: Instant,
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
    forgave: Instant,
    meter: Meter,
    pub(super) drift: Drift,
    /// Tokens a second of other VMs, and until when they count.
    rates: BTreeMap<VmId, (u64, Instant)>,
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
    pub fn list(&mut self, now: Instant, place: Place) {
        let row = self.rows.entry(place.id.clone()).or_insert_with(|| Row {
            place: place.clone(),
            open: true,
            since: now,
            own: Load::default(),
            foreign: Foreign::default(),
            health: Health::default(),
            parts: Parts::default(),
            latency: 0.0,
            full: Instant::default(),
        });
        if row.place.born != place.born {
            row.parts.clear();
            row.since = now;
            row.health = Health::default();
        }
        row.place = place;
        row.open = true;
    }

    /// Takes an endpoint out of the choice; its requests go on.
    pub fn unlist(&mut self, id: &EndpointId) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        row.open = false;
        if row.own.flying == 0 {
            self.rows.remove(id);
        }
    }

    /// Chooses an endpoint and counts the request there.
    pub fn place(&mut self, now: Instant, wish: &Wish<'_>) -> Option<Choice> {
        self.forgive(now);
        let choice = cost::cheapest(self, now, wish)?;
        let row = self.rows.get_mut(&choice.id)?;
        row.own.add(choice.load);
        self.meter.add(now, choice.load.unread());
        row.health.asked(now);
        if let Some(prompt) = wish.prompt {
            row.parts.touch(now, &prompt.parts);
        }
        Some(choice)
    }

    /// Tells that the first token, or the whole answer, came after `took`.
    pub fn first(&mut self, now: Instant, choice: &mut Choice, took: Duration) {
        let Some(row) = self.rows.get_mut(&choice.id) else {
            return;
        };
        row.health.heard(now);
        let read = Load {
            unread: choice.load.unread,
            ..Load::default()
        };
        row.own.sub(read);
        choice.load.unread = Default::default();
        if let Some(profile) = &self.profile {
            self.drift.heard(profile, choice.expected, took);
        }
        let ms = took.as_secs_f64() * 1e3;
        row.latency = match row.latency {
            mean if mean > 0.0 => mean + NEWEST * (ms - mean),
            _ => ms,
        };
    }

    /// Tells that more of an answer came.
    pub fn progress(&mut self, now: Instant, id: &EndpointId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.health.heard(now);
        }
    }

    /// Gives a choice back.
    pub fn ended(&mut self, now: Instant, choice: &Choice, how: Ended) {
        let Some(row) = self.rows.get_mut(&choice.id) else {
            return;
        };
        row.own.sub(choice.load);
        match how {
            Ended::Whole => row.health.answered(true),
            Ended::Failed => row.health.answered(false),
            Ended::Refused => row.full = now + FULL_SPAN,
            Ended::Unreachable => row.health.unreachable(now),
            Ended::Cancelled if row.health.is_silent(now) => row.health.unreachable(now),
            Ended::Cancelled => {}
        }
        if matches!(how, Ended::Whole | Ended::Failed | Ended::Refused) {
            row.health.heard(now);
        }
        if row.own.flying == 0 {
            row.health.idle();
            if !row.open {
                self.rows.remove(&choice.id);
            }
        }
    }

    /// Whether an endpoint has shown no sign of life for long, to any of this VM's requests.
    pub fn is_silent(&self, now: Instant, id: &EndpointId) -> bool {
        self.rows.get(id).is_some_and(|r| r.health.is_silent(now))
    }

    /// Takes in what another VM says of its requests at an endpoint.
    pub fn peer(&mut self, vm: &VmId, id: &EndpointId, load: PeerLoad) {
        if let Some(row) = self.rows.get_mut(id) {
            row.foreign.set(vm, load);
        }
    }

    /// Own load by endpoint, for other VMs.
    pub fn own(&self) -> impl Iterator<Item = (&EndpointId, Load)> {
        let rows = self.rows.iter().filter(|(_, r)| r.own.flying > 0);
        rows.map(|(id, r)| (id, r.own))
    }

    /// Requests in flight at all endpoints, of this VM and of the others.
    pub fn flying(&self, now: Instant) -> u32 {
        let rows = self.rows.values();
        rows.map(|r| r.own.flying + r.foreign.sum(now).flying).sum()
    }

    /// Slots of all endpoints that take work.
    pub fn slots(&self) -> u32 {
        let open = self.rows.values().filter(|r| r.open);
        open.map(|r| r.place.slots).sum()
    }

    /// Prompt tokens a second that this VM has to be read.
    pub fn rate(&mut self, now: Instant) -> u64 {
        self.meter.rate(now)
    }

    /// Takes in the tokens a second of another VM.
    pub fn peer_rate(&mut self, vm: &VmId, rate: u64, until: Instant) {
        self.rates.insert(vm.clone(), (rate, until));
    }

    /// Work of all VMs, in engines that it would fill completely.
    pub fn work(&mut self, now: Instant) -> f64 {
        self.rates.retain(|_, (_, until)| *until > now);
        let others: u64 = self.rates.values().map(|(rate, _)| rate).sum();
        let rate = self.meter.rate(now) + others;
        self.profile
            .map_or(0.0, |p| rate as f64 / (p.prefill * 1e3))
    }

    /// Whether some open endpoint likely has the part cached, as far as this VM knows.
    pub fn knows(&self, now: Instant, part: PromptPartId) -> bool {
        self.rows.values().any(|r| r.open && r.parts.has(now, part))
    }

    fn forgive(&mut self, now: Instant) {
        if now.since(self.forgave) < FORGIVE_EVERY {
            return;
        }
        self.forgave = now;
        for row in self.rows.values_mut() {
            row.health.forgive(FORGIVEN);
        }
    }
}
