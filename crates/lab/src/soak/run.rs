//! Runs a soak.

use {
    super::{SoakReport, faults::random_faults},
    crate::{pair::run_round, results::ArmResults, sites::SiteKind},
    eyre::Result,
    harness::{Cluster, wait_until},
    load::LoadPlan,
    serde::Deserialize,
};

/// Load as a share of the usual one: what is left when an engine or two fail can still carry it.
const LEVEL: f64 = 0.6;
/// Descriptors that an idle entry may hold beyond those before the load: connections to other
/// processes come and go.
const FILES_SLACK: usize = 32;

/// A soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Which of the two systems.
    pub site: SiteKind,
    /// Seed of load and faults.
    pub seed: u64,
    /// Length of each load.
    pub seconds: f64,
    /// Number of loads; memory is compared between the first and the last.
    pub loads: u64,
}

#[derive(Deserialize)]
struct EngineLoad {
    running: u32,
    waiting: u32,
}

/// Runs all loads, each with its own faults, and checks the records after each.
pub fn run_soak(plan: &SoakPlan) -> Result<SoakReport> {
    let site = plan.site.site();
    let mut cluster = Cluster::start(site.cluster_spec("")?)?;
    let before = files(&cluster)?;
    let mut results = ArmResults::new(&"soak".into());
    let mut report = SoakReport::default();
    for turn in 0..plan.loads {
        let load = LoadPlan {
            entries: site.balancer_order(&cluster.caller_addrs()),
            seconds: plan.seconds,
            seed: plan.seed.wrapping_add(turn),
            flows: site.flows(LEVEL)?,
        };
        let faults = random_faults(load.seed, plan.seconds);
        eprintln!(
            "load {} of {}: {} faults",
            turn + 1,
            plan.loads,
            faults.len()
        );
        report.faults += faults.len() as u64;
        let seen = run_round(&mut cluster, &load, &faults)?;
        results.add(&load, &seen);
        wait_drained(&cluster)?;
        report.memory_kb.push(largest_kb(&cluster)?);
    }
    wait_until("idle entries close their connections", || {
        files(&cluster).is_ok_and(|now| now <= before + FILES_SLACK)
    })?;
    report.open_files = [before, files(&cluster)?];
    results.finish();
    report.results = results;
    cluster.stop()?;
    Ok(report)
}

/// Most descriptors that any entry holds.
fn files(cluster: &Cluster) -> Result<usize> {
    let counts = cluster.vms.iter().map(|v| v.entry.open_files());
    let counts: Vec<usize> = counts.collect::<Result<_>>()?;
    Ok(counts.into_iter().max().unwrap_or_default())
}

/// Largest resident memory of any entry.
fn largest_kb(cluster: &Cluster) -> Result<u64> {
    let sizes = cluster.vms.iter().map(|v| v.entry.memory_kb());
    let sizes: Vec<u64> = sizes.collect::<Result<_>>()?;
    Ok(sizes.into_iter().max().unwrap_or_default())
}

/// Waits until no engine runs anything and no entry has a waiting request: a task that leaked would
/// hold its stream.
fn wait_drained(cluster: &Cluster) -> Result<()> {
    wait_until("engines and queues are empty", || {
        let idle = |load: EngineLoad| load.running == 0 && load.waiting == 0;
        let engines = cluster.engines();
        let mut loads = engines.iter().map(|e| cluster.http.get(e.addr, "/load"));
        let waiting = |v: &harness::ClusterVm| {
            let metric = cluster.http.metric(v.admin, "celerystage_waiting");
            metric.is_ok_and(|waiting| waiting == 0.0)
        };
        loads.all(|l| l.is_ok_and(idle)) && cluster.vms.iter().all(waiting)
    })
}
