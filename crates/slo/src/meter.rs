//! Counts of one entry against the targets, by class and organisation.

use {
    crate::{
        ClassObjective, EndpointTime, OrgCounts, ResponseTiming, SloSnapshot, TargetCounts,
        meets_targets, rolling::RollingCounts,
    },
    clock::Instant,
    conf::{Class, Config, Item},
    std::{collections::BTreeMap, time::Duration},
    types::{ClassId, OrgId, Tokens, ZoneId},
};

/// Counts of one organisation in one class.
#[derive(Debug)]
struct OrgMeter {
    rolling: RollingCounts,
    all: TargetCounts,
    tokens: Tokens,
}

/// Counts the answers of one entry and the endpoint time of its zone. Memory grows with the
/// organisations and classes seen, not with time.
#[derive(Debug)]
pub struct SloMeter {
    zone: ZoneId,
    unit: Duration,
    start: Instant,
    meters: BTreeMap<ClassId, BTreeMap<OrgId, OrgMeter>>,
    endpoint_time: EndpointTime,
    steady: usize,
    cheap: usize,
    updated_at: Instant,
}

impl SloMeter {
    /// Creates a meter without counts for an entry in `zone`; `unit` is the unit of the windows.
    pub fn new(now: Instant, zone: ZoneId, unit: Duration) -> Self {
        Self {
            zone,
            unit,
            start: now,
            meters: BTreeMap::new(),
            endpoint_time: EndpointTime::default(),
            steady: 0,
            cheap: 0,
            updated_at: now,
        }
    }

    /// Counts a complete answer.
    pub fn record_response(
        &mut self,
        now: Instant,
        class: &Class,
        org: &OrgId,
        timing: ResponseTiming,
    ) {
        let (ResponseTiming::Stream { tokens, .. } | ResponseTiming::Whole { tokens, .. }) = timing;
        let met = meets_targets(&class.targets, timing);
        self.count(now, &class.id, org, met, tokens);
    }

    /// Counts a request that was refused or cut off, as a miss. Must not be called when the caller
    /// is the cause; see [`crate::burns_budget`].
    pub fn record_failure(&mut self, now: Instant, class: &ClassId, org: &OrgId) {
        self.count(now, class, org, false, Tokens(0));
    }

    fn count(&mut self, now: Instant, class: &ClassId, org: &OrgId, met: bool, tokens: Tokens) {
        let unit = self.units_since_start(now);
        if !self.meters.contains_key(class) {
            self.meters.insert(class.clone(), BTreeMap::new());
        }
        let Some(orgs) = self.meters.get_mut(class) else {
            return;
        };
        if !orgs.contains_key(org) {
            let meter = OrgMeter {
                rolling: RollingCounts::new(unit),
                all: TargetCounts::default(),
                tokens: Tokens(0),
            };
            orgs.insert(org.clone(), meter);
        }
        let Some(meter) = orgs.get_mut(org) else {
            return;
        };
        meter.rolling.add(unit, met);
        meter.all.add(TargetCounts {
            met: met.into(),
            missed: (!met).into(),
        });
        meter.tokens += tokens;
    }

    /// Sets how many endpoints the zone has from `now` on, by kind.
    pub fn set_endpoints(&mut self, now: Instant, steady: usize, cheap: usize) {
        self.advance_endpoint_time(now);
        (self.steady, self.cheap) = (steady, cheap);
    }

    /// Adds the endpoint time since the last update.
    fn advance_endpoint_time(&mut self, now: Instant) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.endpoint_time.seconds += elapsed;
        self.endpoint_time.steady += elapsed * self.steady as f64;
        self.endpoint_time.cheap += elapsed * self.cheap as f64;
    }

    fn units_since_start(&self, now: Instant) -> u64 {
        let unit = self.unit.as_nanos().max(1);
        u64::try_from(now.since(self.start).as_nanos() / unit).unwrap_or(u64::MAX)
    }

    /// Returns all counts up to `now`, with the objectives of the classes in `config`.
    pub fn snapshot(&mut self, now: Instant, config: &Config) -> SloSnapshot {
        self.advance_endpoint_time(now);
        let unit = self.units_since_start(now);
        let mut orgs = Vec::new();
        for (class, meters) in &mut self.meters {
            for (org, meter) in meters {
                orgs.push(OrgCounts {
                    class: class.clone(),
                    org: org.clone(),
                    spans: meter.rolling.windows(unit),
                    all: meter.all,
                    tokens: meter.tokens,
                });
            }
        }
        let classes = config.items().filter_map(|(_, e)| match &e.item {
            Item::Class(class) => Some(ClassObjective {
                class: class.id.clone(),
                objective: class.targets.objective,
            }),
            _ => None,
        });
        SloSnapshot {
            unit: self.unit.as_secs_f64(),
            classes: classes.collect(),
            orgs,
            zones: BTreeMap::from([(self.zone.clone(), self.endpoint_time)]),
        }
    }
}
