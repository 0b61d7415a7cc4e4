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
const ANY_MS: u64 = 60_000;

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

struct Load {
    name: &'static str,
    work: RequestKind,
    rate: f64,
}

fn loads(plan: &CostPlan, shape: &ClusterSpec) -> Vec<Load> {
    let chat = |tokens: u64| RequestKind::Chat {
        model: shape.model.clone(),
        lengths: LengthDistribution {
            median: tokens as f64,
            spread: 0.0,
            longest: tokens,
        },
        prompt: 480,
        prefixes: 1,
    };
    let load = |name, work, rate| Load { name, work, rate };
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

fn shape() -> Result<ClusterSpec> {
    let site = SiteKind::Malabar.site();
    let mut shape = site.cluster_spec("")?;
    shape.zones = vec![ClusterZone {
        zone: "ernakulam".parse()?,
        vms: 1,
        engines: ENGINES,
        cheap: 0,
        services: 1,
    }];
    for item in &mut shape.items {
        match item {
            Item::Model(model) => model.slots = SLOTS,
            Item::Route(route) => route.slots = SLOTS,
            _ => {}
        }
    }
    let speed = [
        ("--slots", u64::from(SLOTS)),
        ("--step-us", STEP_US),
        ("--crowd-us", 0),
        ("--prefill-us", 0),
    ];
    let speed = speed
        .into_iter()
        .flat_map(|(k, v)| [k.into(), v.to_string()]);
    shape.engine_args = speed.collect();
    Ok(shape)
}

/// Measures the overhead of one entry for each load.
pub fn measure_cost(plan: &CostPlan) -> Result<CostReport> {
    let shape = shape()?;
    let key = SiteKind::Malabar.site().first_api_key();
    let mut cluster = Cluster::start(shape.clone())?;
    let mut report = CostReport::default();
    for load in loads(plan, &shape) {
        let direct = match load.work {
            RequestKind::Chat { .. } => cluster.engines(),
            RequestKind::Get { .. } | RequestKind::Post { .. } => cluster.services(),
        };
        let direct: Vec<SocketAddr> = direct.iter().map(|e| e.addr).collect();
        let mut cost = LoadCost::new(load.name);
        for round in 0..plan.rounds {
            eprintln!("{}: round {} of {}", load.name, round + 1, plan.rounds);
            for entries in [cluster.caller_addrs(), direct.clone()] {
                let through = entries == cluster.caller_addrs();
                let flow = flow(&load, &key)?;
                let sent = LoadPlan {
                    entries,
                    seconds: plan.seconds,
                    seed: plan.seed + round,
                    flows: vec![flow],
                };
                let before = cluster.vms[0].entry.cpu_micros()?;
                let seen = run_round(&mut cluster, &sent, &[])?;
                let spent = cluster.vms[0].entry.cpu_micros()? - before;
                let figures = LoadSummary::from_samples(&sent, &seen.samples);
                ensure!(
                    figures.failed() == 0,
                    "not all responses were complete: {figures}"
                );
                cost.add(&seen.samples, through.then_some(spent));
            }
        }
        report.loads.push(cost);
    }
    cluster.stop()?;
    Ok(report)
}

fn flow(load: &Load, key: &str) -> Result<Flow> {
    Ok(Flow {
        org: "rubber-board".parse()?,
        key: key.into(),
        class: "summary".parse()?,
        first_ms: ANY_MS,
        between_ms: ANY_MS,
        rate: load.rate,
        from_s: 0.0,
        until_s: None,
        work: load.work.clone(),
    })
}
