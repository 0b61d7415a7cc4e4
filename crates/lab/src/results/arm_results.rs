//! Results of one arm, accumulated over its rounds.

use {
    super::{RoundObservations, min_fair_ratio},
    compact_str::CompactString,
    load::{ClassStats, Flow, LoadPlan, LoadSummary, Outcome, RequestKind, Sample},
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet, HashMap},
    types::{ClassId, OrgId, RequestId, Verdict},
};

/// Results of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassResults {
    /// Statistics of the responses as seen by callers.
    #[serde(flatten)]
    pub seen: ClassStats,
    /// Tokens of complete responses within the targets.
    pub good: u64,
    /// Tokens that engines generated.
    pub made: u64,
    /// Tokens that cheap engines generated.
    pub cheap: u64,
    /// Lowest ratio, over all organisations, of tokens received within the targets to the
    /// organisation's max-min fair share.
    pub worst: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct OrgTokens {
    demand: u64,
    received: u64,
}

/// Results of one arm.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ArmResults {
    /// Name of the arm.
    pub name: CompactString,
    /// Length of all loads, in seconds.
    pub seconds: f64,
    /// Results by class.
    pub classes: BTreeMap<ClassId, ClassResults>,
    /// Refusals by reason.
    pub reasons: BTreeMap<CompactString, u64>,
    /// Tokens that engines generated for requests whose ids no caller received.
    pub unknown: u64,
    /// Most executions of any request that is not idempotent.
    pub executions: u64,
    /// Requests refused with the verdict `not_run` although they were executed.
    pub untrue: u64,
    #[serde(skip)]
    samples: Vec<Sample>,
    #[serde(skip)]
    flows: Vec<Flow>,
    #[serde(skip)]
    orgs: BTreeMap<(ClassId, OrgId), OrgTokens>,
}

/// Results of a paired experiment.
#[derive(Debug, Clone, Serialize)]
pub struct PairReport {
    /// Name of the reference system.
    pub site: CompactString,
    /// Name of the experiment.
    pub experiment: CompactString,
    /// Seed of the first round.
    pub seed: u64,
    /// Rounds per arm.
    pub rounds: u64,
    /// Length of a round's load, in seconds.
    pub seconds: f64,
    /// Results by arm.
    pub arms: Vec<ArmResults>,
}

impl ArmResults {
    pub(crate) fn new(name: &CompactString) -> Self {
        Self {
            name: name.clone(),
            ..Self::default()
        }
    }

    /// Adds the results of one round.
    pub(crate) fn add_round(&mut self, plan: &LoadPlan, observations: &RoundObservations) {
        self.seconds += plan.seconds;
        self.flows.clone_from(&plan.flows);
        for arrival in plan.arrivals() {
            let flow = &plan.flows[arrival.flow];
            self.org_tokens(flow).demand += arrival.tokens;
        }
        for sample in &observations.samples {
            let flow = &plan.flows[sample.flow];
            if sample.meets_targets(flow) {
                self.org_tokens(flow).received += sample.tokens;
                self.class_results(flow).good += sample.tokens;
            }
        }
        self.add_engine_records(plan, observations);
        self.add_service_records(plan, observations);
        self.samples.extend(observations.samples.iter().cloned());
    }

    fn org_tokens(&mut self, flow: &Flow) -> &mut OrgTokens {
        let key = (flow.class.clone(), flow.org.clone());
        self.orgs.entry(key).or_default()
    }

    fn class_results(&mut self, flow: &Flow) -> &mut ClassResults {
        self.classes.entry(flow.class.clone()).or_default()
    }

    fn add_engine_records(&mut self, plan: &LoadPlan, observations: &RoundObservations) {
        let samples_by_id: HashMap<RequestId, &Sample> = observations
            .samples
            .iter()
            .filter_map(|s| Some((s.id?, s)))
            .collect();
        let mut false_refusals = BTreeSet::new();
        for engine in &observations.engines {
            for executed in &engine.executed {
                let Some(sample) = samples_by_id.get(&executed.id) else {
                    self.unknown += executed.generated;
                    continue;
                };
                let class = self.class_results(&plan.flows[sample.flow]);
                class.made += executed.generated;
                class.cheap += if engine.cheap { executed.generated } else { 0 };
                if executed.generated > 0 && refused_as_not_run(sample) {
                    false_refusals.insert(executed.id);
                }
            }
        }
        self.untrue += false_refusals.len() as u64;
    }

    fn add_service_records(&mut self, plan: &LoadPlan, observations: &RoundObservations) {
        let mut counts: HashMap<&str, u64> = HashMap::new();
        let posts = observations.services.iter().filter(|e| e.method == "POST");
        for executed in posts {
            *counts.entry(executed.body.as_str()).or_default() += 1;
        }
        let max_executions = counts.values().copied().max().unwrap_or_default();
        self.executions = self.executions.max(max_executions);
        for sample in observations
            .samples
            .iter()
            .filter(|s| refused_as_not_run(s))
        {
            let serial = format!("{:016x}", sample.serial);
            let post = matches!(plan.flows[sample.flow].work, RequestKind::Post { .. });
            self.untrue += u64::from(post && counts.contains_key(serial.as_str()));
        }
    }

    /// Computes latencies, reasons and fairness after the last round.
    pub(crate) fn finish(&mut self) {
        let plan = LoadPlan {
            entries: Vec::new(),
            seconds: self.seconds,
            seed: 0,
            flows: std::mem::take(&mut self.flows),
        };
        let summary = LoadSummary::from_samples(&plan, &self.samples);
        self.reasons = summary.reasons;
        for (class, stats) in summary.classes {
            let org_tokens = self.orgs.iter().filter(|((c, _), _)| *c == class);
            let (received, demand): (Vec<f64>, Vec<f64>) = org_tokens
                .map(|(_, t)| (t.received as f64, t.demand as f64))
                .unzip();
            let results = self.classes.entry(class).or_default();
            results.worst = min_fair_ratio(&received, &demand);
            results.seen = stats;
        }
    }

    /// Share of the generated tokens that no caller received in a complete response.
    pub fn wasted_share(&self) -> f64 {
        let made = self.unknown + self.classes.values().map(|c| c.made).sum::<u64>();
        let whole: u64 = self.classes.values().map(|c| c.seen.tokens).sum();
        1.0 - whole as f64 / made.max(1) as f64
    }

    /// Share of the generated tokens that cheap engines generated.
    pub fn cheap_share(&self) -> f64 {
        let made: u64 = self.classes.values().map(|c| c.made).sum();
        let cheap: u64 = self.classes.values().map(|c| c.cheap).sum();
        cheap as f64 / made.max(1) as f64
    }
}

impl ClassResults {
    /// Share of the requests that were answered completely and within the targets.
    pub fn attainment(&self) -> f64 {
        self.seen.attained as f64 / self.seen.sent.max(1) as f64
    }

    /// Share of the generated tokens that no caller received in a complete response.
    pub fn wasted_share(&self) -> f64 {
        if self.made == 0 {
            return 0.0;
        }
        1.0 - self.seen.tokens as f64 / self.made as f64
    }

    /// Share of the generated tokens that cheap engines generated.
    pub fn cheap_share(&self) -> f64 {
        self.cheap as f64 / self.made.max(1) as f64
    }
}

fn refused_as_not_run(sample: &Sample) -> bool {
    matches!(
        sample.outcome,
        Outcome::Refused {
            verdict: Some(Verdict::NotRun),
            ..
        }
    )
}
