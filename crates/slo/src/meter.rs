//! Counts of one entry by class and organisation.

use {
    crate::{
        ClassObjective, EndpointTime, OrgCounts, ResponseTiming, SloSnapshot, TargetCounts,
        meets_targets, rolling::Rolling,
    },
    clock::Instant,
    conf::{Class, Config, Item},
    std::{collections::BTreeMap, time::Duration},
    types::{ClassId, OrgId, Tokens, ZoneId},
};

#[derive(Debug)]
struct Cell {
    rolling: Rolling,
    all: TargetCounts,
    tokens: Tokens,
}

/// Counts of one entry. Memory grows with the organisations and classes seen, not with time.
#[derive(Debug)]
pub struct SloMeter {
    zone: ZoneId,
    unit: Duration,
    start: Instant,
    cells: BTreeMap<ClassId, BTreeMap<OrgId, Cell>>,
    spending: EndpointTime,
    steady: usize,
    cheap: usize,
    looked: Instant,
}

impl SloMeter {
    /// An empty meter of an entry in `zone`; `unit` is the unit of the spans.
    pub fn new(now: Instant, zone: ZoneId, unit: Duration) -> Self {
        Self {
            zone,
            unit,
            start: now,
            cells: BTreeMap::new(),
            spending: EndpointTime::default(),
            steady: 0,
            cheap: 0,
            looked: now,
        }
    }

    /// Counts an answer that came whole.
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

    /// Counts a request that was refused or cut off for no reason of the caller's.
    pub fn record_failure(&mut self, now: Instant, class: &ClassId, org: &OrgId) {
        self.count(now, class, org, false, Tokens(0));
    }

    fn count(&mut self, now: Instant, class: &ClassId, org: &OrgId, met: bool, tokens: Tokens) {
        let unit = self.units(now);
        if !self.cells.contains_key(class) {
            self.cells.insert(class.clone(), BTreeMap::new());
        }
        let Some(orgs) = self.cells.get_mut(class) else {
            return;
        };
        if !orgs.contains_key(org) {
            let cell = Cell {
                rolling: Rolling::new(unit),
                all: TargetCounts::default(),
                tokens: Tokens(0),
            };
            orgs.insert(org.clone(), cell);
        }
        let Some(cell) = orgs.get_mut(org) else {
            return;
        };
        cell.rolling.add(unit, met);
        cell.all.add(TargetCounts {
            met: met.into(),
            missed: (!met).into(),
        });
        cell.tokens += tokens;
    }

    /// Takes note of how many endpoints the zone has from now on, by kind.
    pub fn set_endpoints(&mut self, now: Instant, steady: usize, cheap: usize) {
        self.spend(now);
        (self.steady, self.cheap) = (steady, cheap);
    }

    fn spend(&mut self, now: Instant) {
        let span = now.since(self.looked).as_secs_f64();
        self.looked = self.looked.max(now);
        self.spending.seconds += span;
        self.spending.steady += span * self.steady as f64;
        self.spending.cheap += span * self.cheap as f64;
    }

    fn units(&self, now: Instant) -> u64 {
        let unit = self.unit.as_nanos().max(1);
        u64::try_from(now.since(self.start).as_nanos() / unit).unwrap_or(u64::MAX)
    }

    /// What has been counted up to now, with the classes of `config`.
    pub fn snapshot(&mut self, now: Instant, config: &Config) -> SloSnapshot {
        self.spend(now);
        let unit = self.units(now);
        let mut orgs = Vec::new();
        for (class, cells) in &mut self.cells {
            for (org, cell) in cells {
                orgs.push(OrgCounts {
                    class: class.clone(),
                    org: org.clone(),
                    spans: cell.rolling.spans(unit),
                    all: cell.all,
                    tokens: cell.tokens,
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
            zones: BTreeMap::from([(self.zone.clone(), self.spending)]),
        }
    }
}
