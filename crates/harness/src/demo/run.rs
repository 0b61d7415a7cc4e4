//! Runs the demo.

use {
    super::config::{MODEL, SERVICE, demo_config, demo_flows},
    crate::cluster::{Cluster, ClusterSpec, ClusterZone},
    async_executor::Executor,
    async_io::block_on,
    clock::SystemClock,
    eyre::{Result, ensure},
    load::{Driver, LoadPlan, LoadSummary},
    std::sync::Arc,
};

const SEED: u64 = 7;

/// Starts two availability zones, sends mixed traffic, prints a summary and stops all processes.
pub fn run_demo(seconds: f64) -> Result<()> {
    let zone = |name: &str| -> Result<ClusterZone> {
        Ok(ClusterZone {
            zone: name.parse()?,
            vms: 2,
            engines: 3,
            cheap: 1,
            services: 2,
        })
    };
    let spec = ClusterSpec {
        zones: vec![zone("ernakulam")?, zone("calicut")?],
        model: MODEL.parse()?,
        service: SERVICE.parse()?,
        items: demo_config()?,
        engine_args: Vec::new(),
        entry_settings: String::new(),
        steward_settings: String::new(),
    };
    println!("starting 2 availability zones, 4 VMs, 6 engines, 4 service replicas");
    let cluster = Cluster::start(spec)?;
    let plan = LoadPlan {
        entries: cluster.caller_addrs(),
        seconds,
        seed: SEED,
        flows: demo_flows()?,
    };
    println!("sending mixed traffic for {seconds} s");
    let ex = Arc::new(Executor::new());
    let driver = Driver::new(SystemClock::shared(), ex.clone());
    let samples = block_on(ex.run(driver.run(&plan)));
    let summary = LoadSummary::from_samples(&plan, &samples);
    println!("\n{summary}");
    cluster.stop()?;
    println!("all processes stopped gracefully");
    ensure!(
        summary.failed() == 0,
        "{} responses were cut, wrong or missing",
        summary.failed()
    );
    Ok(())
}
