//! Availability zones: spill-over to another zone, eviction of cheap endpoints, configuration
//! versions after a restart.

use {
    crate::common::{MODEL, incomplete, run_with, start, start_zones, streams, zone},
    eyre::Result,
    harness::{Cluster, wait_until},
    load::Outcome,
    standin::{
        engine::{EngineCommand, ExecutedCompletion},
        platform::{PlatformCommand, PlatformFaults},
    },
};

#[test]
fn a_zone_without_engines_is_served_by_another() -> Result<()> {
    let cluster = start_zones(vec![zone("ernakulam", 2, 2)?, zone("calicut", 2, 0)?], "")?;
    let calicut: Vec<_> = cluster
        .vms
        .iter()
        .filter(|v| v.zone.as_str() == "calicut")
        .collect();
    let entries: Vec<_> = calicut.iter().map(|v| v.callers).collect();
    let probe = streams(entries.clone(), 20.0, 0.2)?;
    wait_until("the other zone's headroom is known", || {
        run_with(&probe, || Ok(())).is_ok_and(|s| !s.is_empty() && incomplete(&s).is_empty())
    })?;
    let samples = run_with(&streams(entries, 20.0, 2.0)?, || Ok(()))?;
    assert_eq!(incomplete(&samples), Vec::<&Outcome>::new());
    Ok(())
}

/// Streams of a zone without engines were refused while no slot of the other zone was free.
#[test]
fn a_zone_without_engines_waits_for_the_slots_of_another() -> Result<()> {
    let cluster = start_zones(vec![zone("ernakulam", 2, 1)?, zone("calicut", 2, 0)?], "")?;
    let vms = cluster.vms.iter().filter(|v| v.zone.as_str() == "calicut");
    let entries: Vec<_> = vms.map(|v| v.callers).collect();
    let probe = streams(entries.clone(), 20.0, 0.2)?;
    wait_until("the other zone's headroom is known", || {
        run_with(&probe, || Ok(())).is_ok_and(|s| !s.is_empty() && incomplete(&s).is_empty())
    })?;
    // More streams at once than the engine has slots.
    let samples = run_with(&streams(entries, 60.0, 1.0)?, || Ok(()))?;
    assert_eq!(incomplete(&samples), Vec::<&Outcome>::new());
    Ok(())
}

#[test]
fn streams_move_off_evicted_endpoints_before_those_are_cut_off() -> Result<()> {
    let mut spec = zone("ernakulam", 2, 4)?;
    spec.cheap = 2;
    let cluster = start_zones(vec![spec], "")?;
    let engines = cluster.endpoints_serving(&MODEL.parse()?);
    let cheap: Vec<_> = engines.iter().filter(|e| e.cheap).cloned().collect();
    let mut plan = streams(cluster.caller_addrs(), 10.0, 3.0)?;
    plan.flows[0].work = long_streams()?;
    let samples = run_with(&plan, || {
        wait_until("cheap endpoints run requests", || {
            cheap.iter().any(|e| !executed(&cluster, e.addr).is_empty())
        })?;
        cluster.control_platform(&PlatformCommand::Leave(
            cheap.iter().map(|e| e.id.clone()).collect(),
        ))?;
        wait_until("no entry uses them", || {
            let remaining = cheap.iter().map(|e| running(&cluster, e.addr)).sum::<u64>();
            remaining == 0
        })?;
        for endpoint in &cheap {
            cluster.control_endpoint(endpoint.addr, &EngineCommand::CutAfter(Some(0)))?;
        }
        cluster.control_platform(&PlatformCommand::Remove(
            cheap.iter().map(|e| e.id.clone()).collect(),
        ))
    })?;
    assert_eq!(incomplete(&samples), Vec::<&Outcome>::new());
    let moves = cluster
        .vms
        .iter()
        .filter_map(|v| cluster.http.metric(v.admin, "celerystage_moves_total").ok());
    assert!(moves.sum::<f64>() > 0.0, "no stream was moved");
    Ok(())
}

/// Streams of 300 tokens.
fn long_streams() -> Result<load::RequestKind> {
    Ok(load::RequestKind::Chat {
        model: MODEL.parse()?,
        lengths: load::LengthDistribution {
            median: 300.0,
            spread: 0.0,
            longest: 300,
        },
        prompt: 100,
        prefixes: 1,
    })
}

#[test]
fn a_restarted_entry_does_not_serve_an_older_configuration_version() -> Result<()> {
    let mut cluster = start(3, 1)?;
    let before = version(&cluster, 0);
    cluster.publish(vec![conf::Item::Org(conf::Org {
        id: "late-mill".parse()?,
        weight: 2,
    })])?;
    wait_until("the change is in force everywhere", || {
        (0..3).all(|i| version(&cluster, i) > before)
    })?;
    let newest = version(&cluster, 0);
    cluster.control_platform(&PlatformCommand::Fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }))?;
    for i in 0..3 {
        cluster.vms[i].entry.kill()?;
        cluster.vms[i].restart_entry()?;
        cluster.vms[i].wait_ready(&cluster.http)?;
        assert!(
            version(&cluster, i) >= newest,
            "entry {i} serves an older version"
        );
    }
    Ok(())
}

#[test]
fn a_configuration_change_reaches_an_entry_whose_steward_is_dead() -> Result<()> {
    let mut cluster = start(3, 1)?;
    let before = version(&cluster, 0);
    if let Some(steward) = &mut cluster.vms[0].steward {
        steward.kill()?;
    }
    cluster.publish(vec![conf::Item::Org(conf::Org {
        id: "late-mill".parse()?,
        weight: 2,
    })])?;
    wait_until("the change is in force", || version(&cluster, 0) > before)
}

fn version(cluster: &Cluster, vm: usize) -> u64 {
    let admin = cluster.vms[vm].admin;
    cluster
        .http
        .metric(admin, "celerystage_config_version")
        .unwrap_or_default() as u64
}

fn executed(cluster: &Cluster, engine: std::net::SocketAddr) -> Vec<ExecutedCompletion> {
    cluster.http.get(engine, "/record").unwrap_or_default()
}

fn running(cluster: &Cluster, engine: std::net::SocketAddr) -> u64 {
    #[derive(serde::Deserialize)]
    struct Load {
        running: u64,
    }
    cluster
        .http
        .get::<Load>(engine, "/load")
        .map_or(0, |l| l.running)
}
