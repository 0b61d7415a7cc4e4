//! Clusters and loads that the failure tests share.

use {
    async_executor::Executor,
    async_io::block_on,
    clock::SystemClock,
    eyre::Result,
    harness::{Cluster, ClusterSpec, ClusterZone, demo_config},
    load::{Driver, Flow, LengthDistribution, LoadPlan, Outcome, RequestKind, Sample},
    std::{net::SocketAddr, sync::Arc, thread},
};

pub(crate) const MODEL: &str = "surveyor-llm";

/// Starts one availability zone of `vms` entries that share `engines` engines.
pub(crate) fn start(vms: usize, engines: usize) -> Result<Cluster> {
    start_zones(vec![zone("ernakulam", vms, engines)?], "")
}

/// An availability zone with one replica of the plain service.
pub(crate) fn zone(name: &str, vms: usize, engines: usize) -> Result<ClusterZone> {
    Ok(ClusterZone {
        zone: name.parse()?,
        vms,
        engines,
        cheap: 0,
        services: 1,
    })
}

/// Starts several availability zones; `entry` is appended to the entries' settings.
pub(crate) fn start_zones(zones: Vec<ClusterZone>, entry: &str) -> Result<Cluster> {
    Cluster::start(ClusterSpec {
        zones,
        model: MODEL.parse()?,
        service: "permit-desk".parse()?,
        items: demo_config()?,
        engine_args: Vec::new(),
        entry_settings: entry.into(),
        steward_settings: String::new(),
    })
}

/// Streams of about half a second for one organisation.
pub(crate) fn streams(entries: Vec<SocketAddr>, rate: f64, seconds: f64) -> Result<LoadPlan> {
    let lengths = LengthDistribution {
        median: 50.0,
        spread: 0.3,
        longest: 100,
    };
    let work = RequestKind::Chat {
        model: MODEL.parse()?,
        lengths,
        prompt: 200,
        prefixes: 2,
    };
    let flow = Flow {
        org: "rice-mill".parse()?,
        key: "ck-demo-rice-mill".into(),
        class: "batch".parse()?,
        first_ms: 10_000,
        between_ms: 100,
        rate,
        from_s: 0.0,
        until_s: None,
        work,
    };
    Ok(LoadPlan {
        entries,
        seconds,
        seed: 11,
        flows: vec![flow],
    })
}

/// Runs a load and, at the same time, `fault`.
pub(crate) fn run_with(plan: &LoadPlan, fault: impl FnOnce() -> Result<()>) -> Result<Vec<Sample>> {
    let ex = Arc::new(Executor::new());
    let driver = Driver::new(SystemClock::shared(), ex.clone());
    thread::scope(|scope| {
        let load = scope.spawn(|| block_on(ex.run(driver.run(plan))));
        fault()?;
        load.join().map_err(|_| eyre::eyre!("the load failed"))
    })
}

/// Outcomes other than complete responses.
pub(crate) fn incomplete(samples: &[Sample]) -> Vec<&Outcome> {
    samples
        .iter()
        .map(|s| &s.outcome)
        .filter(|o| **o != Outcome::Complete)
        .collect()
}
