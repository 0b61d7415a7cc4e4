//! Runs a soak test.

use {
    super::{SoakReport, faults::random_faults},
    crate::{pair::run_round, results::ArmResults, sites::SiteKind},
    eyre::Result,
    harness::{Cluster, wait_until},
    load::LoadPlan,
    serde::Deserialize,
};

/// Multiplier of the normal traffic, low enough that the remaining engines can serve it when one or
/// two have failed.
const LOAD_LEVEL: f64 = 0.6;
/// File descriptors that an idle entry may have open beyond those before the load, since the number
/// of its connections to other processes varies.
const OPEN_FILES_SLACK: usize = 32;

/// Parameters of a soak test.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Reference system.
    pub site: SiteKind,
    /// Seed of the first load and its faults; each further load adds one.
    pub seed: u64,
    /// Length of each load, in seconds.
    pub seconds: f64,
    /// Number of loads. Memory is compared between the first and the last.
    pub loads: u64,
}

#[derive(Deserialize)]
struct EngineLoad {
    running: u32,
    waiting: u32,
}

/// Runs all loads on one cluster, each with faults of its own, and collects the results.
pub fn run_soak(plan: &SoakPlan) -> Result<SoakReport> {
    let site = plan.site.site();
    let mut cluster = Cluster::start(site.cluster_spec("")?)?;
    let before = max_open_files(&cluster)?;
    let mut results = ArmResults::new(&"soak".into());
    let mut report = SoakReport::default();
    for round in 0..plan.loads {
        let load = LoadPlan {
            entries: site.balancer_order(&cluster.caller_addrs()),
            seconds: plan.seconds,
            seed: plan.seed.wrapping_add(round),
            flows: site.flows(LOAD_LEVEL)?,
        };
        let faults = random_faults(load.seed, plan.seconds);
        eprintln!(
            "load {} of {}: {} faults",
            round + 1,
            plan.loads,
            faults.len()
        );
        report.faults += faults.len() as u64;
        let observations = run_round(&mut cluster, &load, &faults)?;
        results.add_round(&load, &observations);
        wait_idle(&cluster)?;
        report.memory_kb.push(max_memory_kb(&cluster)?);
    }
    wait_until("idle entries close their connections", || {
        max_open_files(&cluster).is_ok_and(|now| now <= before + OPEN_FILES_SLACK)
    })?;
    report.open_files = [before, max_open_files(&cluster)?];
    results.finish();
    report.results = results;
    cluster.stop()?;
    Ok(report)
}

/// Largest number of open file descriptors of any entry.
fn max_open_files(cluster: &Cluster) -> Result<usize> {
    let counts = cluster.vms.iter().map(|v| v.entry.open_files());
    let counts: Vec<usize> = counts.collect::<Result<_>>()?;
    Ok(counts.into_iter().max().unwrap_or_default())
}

/// Largest resident memory of any entry.
fn max_memory_kb(cluster: &Cluster) -> Result<u64> {
    let sizes = cluster.vms.iter().map(|v| v.entry.memory_kb());
    let sizes: Vec<u64> = sizes.collect::<Result<_>>()?;
    Ok(sizes.into_iter().max().unwrap_or_default())
}

/// Waits until all engines are idle and no entry has queued requests. It times out if a leaked task
/// still holds a stream.
fn wait_idle(cluster: &Cluster) -> Result<()> {
    wait_until("engines and queues are empty", || {
        let is_idle = |load: EngineLoad| load.running == 0 && load.waiting == 0;
        let engines = cluster.engines();
        let mut loads = engines.iter().map(|e| cluster.http.get(e.addr, "/load"));
        let queue_empty = |v: &harness::ClusterVm| {
            let metric = cluster.http.metric(v.admin, "celerystage_waiting");
            metric.is_ok_and(|count| count == 0.0)
        };
        loads.all(|l| l.is_ok_and(is_idle)) && cluster.vms.iter().all(queue_empty)
    })
}
