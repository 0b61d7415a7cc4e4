//! Sends the same load through one entry and directly to the endpoints, in turns.

use {
    super::{CostReport, LoadCost},
    crate::{pair::run_round, sites::SiteKind},
    conf::Item,
    eyre::{Result, ensure},
    harness::{Cluster, ClusterSpec, ClusterZone},
    load::{Flow, LengthDistribution, LoadPlan, LoadSummary, RequestKind},
    std::net::SocketAddr,
};

const ENGINES: usize = 4;
/// Slots of an engine and of a route: more than the load ever uses, so that no request queues.
const SLOTS: u32 = 256;
const STEP_US: u64 = 20_000;
const SHORT_TOKENS: u64 = 1;
const LONG_TOKENS: u64 = 100;
/// Latency target, which this measurement does not use.
const UNUSED_TARGET_MS: u64 = 60_000;

/// Parameters of a proxy overhead measurement.
#[derive(Debug, Clone, Copy)]
pub struct CostPlan {
    /// Length of one load, in seconds.
    pub seconds: f64,
    /// How often each load is sent through the entry, and directly.
    pub rounds: u64,
    /// Requests per second of the short completions and of the plain HTTP service.
    pub rate: f64,
    /// Seed of the first round's load; each further round adds one.
    pub seed: u64,
}

struct TestLoad {
    name: &'static str,
    work: RequestKind,
    rate: f64,
}

fn test_loads(plan: &CostPlan, spec: &ClusterSpec) -> Vec<TestLoad> {
    let chat = |tokens: u64| RequestKind::Chat {
        model: spec.model.clone(),
        lengths: LengthDistribution {
            median: tokens as f64,
            spread: 0.0,
            longest: tokens,
        },
        prompt: 480,
        prefixes: 1,
    };
    let load = |name, work, rate| TestLoad { name, work, rate };
    vec![
        load("one token", chat(SHORT_TOKENS), plan.rate),
        load("100 tokens", chat(LONG_TOKENS), plan.rate / 4.0),
        load(
            "plain GET",
            RequestKind::Get {
                path: "/permits/item".into(),
            },
            plan.rate,
        ),
    ]
}

fn cluster_spec() -> Result<ClusterSpec> {
    let site = SiteKind::Malabar.site();
    let mut spec = site.cluster_spec("")?;
    spec.zones = vec![ClusterZone {
        zone: "ernakulam".parse()?,
        vms: 1,
        engines: ENGINES,
        cheap: 0,
        services: 1,
    }];
    for item in &mut spec.items {
        match item {
            Item::Model(model) => model.slots = SLOTS,
            Item::Route(route) => route.slots = SLOTS,
            _ => {}
        }
    }
    let engine_args = [
        ("--slots", u64::from(SLOTS)),
        ("--step-us", STEP_US),
        ("--crowd-us", 0),
        ("--prefill-us", 0),
    ];
    let engine_args = engine_args
        .into_iter()
        .flat_map(|(k, v)| [k.into(), v.to_string()]);
    spec.engine_args = engine_args.collect();
    Ok(spec)
}

/// Measures the overhead of one entry for each load.
pub fn measure_cost(plan: &CostPlan) -> Result<CostReport> {
    let spec = cluster_spec()?;
    let key = SiteKind::Malabar.site().first_api_key();
    let mut cluster = Cluster::start(spec.clone())?;
    let mut report = CostReport::default();
    for load in test_loads(plan, &spec) {
        let direct = match load.work {
            RequestKind::Chat { .. } => cluster.engines(),
            RequestKind::Get { .. } | RequestKind::Post { .. } => cluster.services(),
        };
        let direct: Vec<SocketAddr> = direct.iter().map(|e| e.addr).collect();
        let mut cost = LoadCost::new(load.name);
        for round in 0..plan.rounds {
            eprintln!("{}: round {} of {}", load.name, round + 1, plan.rounds);
            for entries in [cluster.caller_addrs(), direct.clone()] {
                let via_entry = entries == cluster.caller_addrs();
                let flow = make_flow(&load, &key)?;
                let load_plan = LoadPlan {
                    entries,
                    seconds: plan.seconds,
                    seed: plan.seed + round,
                    flows: vec![flow],
                };
                let before = cluster.vms[0].entry.cpu_micros()?;
                let observations = run_round(&mut cluster, &load_plan, &[])?;
                let cpu_micros = cluster.vms[0].entry.cpu_micros()? - before;
                let summary = LoadSummary::from_samples(&load_plan, &observations.samples);
                ensure!(
                    summary.failed() == 0,
                    "incorrect, truncated or missing responses: {summary}"
                );
                cost.add(&observations.samples, via_entry.then_some(cpu_micros));
            }
        }
        report.loads.push(cost);
    }
    cluster.stop()?;
    Ok(report)
}

fn make_flow(load: &TestLoad, key: &str) -> Result<Flow> {
    Ok(Flow {
        org: "rubber-board".parse()?,
        key: key.into(),
        class: "summary".parse()?,
        first_ms: UNUSED_TARGET_MS,
        between_ms: UNUSED_TARGET_MS,
        rate: load.rate,
        from_s: 0.0,
        until_s: None,
        work: load.work.clone(),
    })
}
