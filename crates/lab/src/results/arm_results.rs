//! Figures of one arm over its rounds.

use {
    super::{RoundObservations, min_fair_ratio},
    compact_str::CompactString,
    load::{ClassStats, Flow, LoadPlan, LoadSummary, Outcome, RequestKind, Sample},
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet, HashMap},
    types::{ClassId, OrgId, RequestId, Verdict},
};

/// Figures of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassResults {
    /// As callers saw it.
    #[serde(flatten)]
    pub stats: ClassStats,
    /// Tokens of whole answers within the targets.
    pub good: u64,
    /// Tokens that engines made.
    pub made: u64,
    /// Tokens that cheap engines made.
    pub cheap: u64,
    /// Tokens within the targets of the worst-served organisation, as a share of its fair share.
    pub worst: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct OrgTally {
    asked: u64,
    got: u64,
}

/// Figures of one arm.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ArmResults {
    /// The arm.
    pub name: CompactString,
    /// Seconds of load.
    pub seconds: f64,
    /// By class.
    pub classes: BTreeMap<ClassId, ClassResults>,
    /// Refusals by reason.
    pub reasons: BTreeMap<CompactString, u64>,
    /// Tokens that engines made for requests that no caller knows.
    pub unknown: u64,
    /// Most executions of any request that may not be repeated.
    pub executions: u64,
    /// Refusals that say "not run" of requests that ran.
    pub untrue: u64,
    #[serde(skip)]
    samples: Vec<Sample>,
    #[serde(skip)]
    flows: Vec<Flow>,
    #[serde(skip)]
    orgs: BTreeMap<(ClassId, OrgId), OrgTally>,
}

/// Figures of a paired experiment.
#[derive(Debug, Clone, Serialize)]
pub struct PairReport {
    /// Which system.
    pub site: CompactString,
    /// Which experiment.
    pub experiment: CompactString,
    /// Seed of the first round.
    pub seed: u64,
    /// Rounds of each arm.
    pub rounds: u64,
    /// Length of a round's load.
    pub seconds: f64,
    /// The arms.
    pub arms: Vec<ArmResults>,
}

impl ArmResults {
    pub(crate) fn new(name: &CompactString) -> Self {
        Self {
            name: name.clone(),
            ..Self::default()
        }
    }

    /// Adds one round.
    pub(crate) fn add(&mut self, plan: &LoadPlan, seen: &RoundObservations) {
        self.seconds += plan.seconds;
        self.flows.clone_from(&plan.flows);
        for arrival in plan.arrivals() {
            let flow = &plan.flows[arrival.flow];
            self.org(flow).asked += arrival.tokens;
        }
        for sample in &seen.samples {
            let flow = &plan.flows[sample.flow];
            if sample.meets_targets(flow) {
                self.org(flow).got += sample.tokens;
                self.class(flow).good += sample.tokens;
            }
        }
        self.add_engines(plan, seen);
        self.add_services(plan, seen);
        self.samples.extend(seen.samples.iter().cloned());
    }

    fn org(&mut self, flow: &Flow) -> &mut OrgTally {
        let key = (flow.class.clone(), flow.org.clone());
        self.orgs.entry(key).or_default()
    }

    fn class(&mut self, flow: &Flow) -> &mut ClassResults {
        self.classes.entry(flow.class.clone()).or_default()
    }

    fn add_engines(&mut self, plan: &LoadPlan, seen: &RoundObservations) {
        let by_id: HashMap<RequestId, &Sample> = seen
            .samples
            .iter()
            .filter_map(|s| Some((s.id?, s)))
            .collect();
        let mut begun = BTreeSet::new();
        for engine in &seen.engines {
            for executed in &engine.executed {
                let Some(sample) = by_id.get(&executed.id) else {
                    self.unknown += executed.generated;
                    continue;
                };
                let class = self.class(&plan.flows[sample.flow]);
                class.made += executed.generated;
                class.cheap += if engine.cheap { executed.generated } else { 0 };
                if executed.generated > 0 && says_not_run(sample) {
                    begun.insert(executed.id);
                }
            }
        }
        self.untrue += begun.len() as u64;
    }

    fn add_services(&mut self, plan: &LoadPlan, seen: &RoundObservations) {
        let mut counts: HashMap<&str, u64> = HashMap::new();
        let posts = seen.services.iter().filter(|e| e.method == "POST");
        for executed in posts {
            *counts.entry(executed.body.as_str()).or_default() += 1;
        }
        let most = counts.values().copied().max().unwrap_or_default();
        self.executions = self.executions.max(most);
        for sample in seen.samples.iter().filter(|s| says_not_run(s)) {
            let serial = format!("{:016x}", sample.serial);
            let post = matches!(plan.flows[sample.flow].work, RequestKind::Post { .. });
            self.untrue += u64::from(post && counts.contains_key(serial.as_str()));
        }
    }

    /// Sums up after the last round.
    pub(crate) fn finish(&mut self) {
        let plan = LoadPlan {
            entries: Vec::new(),
            seconds: self.seconds,
            seed: 0,
            flows: std::mem::take(&mut self.flows),
        };
        let report = LoadSummary::from_samples(&plan, &self.samples);
        self.reasons = report.reasons;
        for (class, row) in report.classes {
            let tallies = self.orgs.iter().filter(|((c, _), _)| *c == class);
            let (got, asked): (Vec<f64>, Vec<f64>) =
                tallies.map(|(_, t)| (t.got as f64, t.asked as f64)).unzip();
            let figures = self.classes.entry(class).or_default();
            figures.worst = min_fair_ratio(&got, &asked);
            figures.stats = row;
        }
    }

    /// Share of the made tokens that reached no caller in a whole answer.
    pub fn wasted_share(&self) -> f64 {
        let made = self.unknown + self.classes.values().map(|c| c.made).sum::<u64>();
        let whole: u64 = self.classes.values().map(|c| c.stats.tokens).sum();
        1.0 - whole as f64 / made.max(1) as f64
    }

    /// Share of the made tokens that cheap engines made.
    pub fn cheap_share(&self) -> f64 {
        let made: u64 = self.classes.values().map(|c| c.made).sum();
        let cheap: u64 = self.classes.values().map(|c| c.cheap).sum();
        cheap as f64 / made.max(1) as f64
    }
}

impl ClassResults {
    /// Share of the requests that were answered within the targets.
    pub fn attainment(&self) -> f64 {
        self.stats.attained as f64 / self.stats.sent.max(1) as f64
    }

    /// Share of the made tokens that reached no caller in a whole answer.
    pub fn wasted_share(&self) -> f64 {
        if self.made == 0 {
            return 0.0;
        }
        1.0 - self.stats.tokens as f64 / self.made as f64
    }

    /// Share of the made tokens that cheap engines made.
    pub fn cheap_share(&self) -> f64 {
        self.cheap as f64 / self.made.max(1) as f64
    }
}

fn says_not_run(sample: &Sample) -> bool {
    matches!(
        sample.outcome,
        Outcome::Refused {
            verdict: Some(Verdict::NotRun),
            ..
        }
    )
}
