//! The entry that schedules a model dies, freezes or stops while other entries' requests wait and run
//! under it: none of their requests is lost.

use {
    crate::common::{MODEL, not_whole, run_with, start, streams},
    eyre::{Result, eyre},
    harness::{Cluster, wait_until},
    rustix::process::Signal,
    std::net::SocketAddr,
};

/// Index of the VM that schedules the model: the one that has requests of other entries.
fn home_of(cluster: &Cluster) -> Result<usize> {
    let vms = cluster.vms.iter().map(|v| v.vm.clone());
    let ranked = mesh::rank_vms(&format!("ernakulam/{MODEL}"), vms);
    let home = ranked.first().ok_or_else(|| eyre!("no VM"))?;
    cluster
        .vms
        .iter()
        .position(|v| v.vm == *home)
        .ok_or_else(|| eyre!("home is not listed"))
}

/// Entries other than the home; callers of the home itself lose their connection when it dies.
fn others(cluster: &Cluster, home: usize) -> Vec<SocketAddr> {
    let vms = cluster.vms.iter().enumerate().filter(|(i, _)| *i != home);
    vms.map(|(_, v)| v.callers).collect()
}

fn lost_homes(cluster: &Cluster, home: usize) -> f64 {
    let vms = cluster.vms.iter().enumerate().filter(|(i, _)| *i != home);
    vms.filter_map(|(_, v)| {
        cluster
            .http
            .metric(v.admin, "celerystage_homes_lost_total")
            .ok()
    })
    .sum()
}

#[test]
fn killed_home_loses_no_request_of_other_entries() -> Result<()> {
    let mut cluster = start(4, 2)?;
    let home = home_of(&cluster)?;
    let plan = streams(others(&cluster, home), 40.0, 4.0)?;
    let samples = run_with(&plan, || {
        wait_until("requests run", || running(&cluster) > 4)?;
        cluster.vms[home].entry.kill()
    })?;
    assert_eq!(not_whole(&samples), Vec::<&load::Outcome>::new());
    assert!(
        lost_homes(&cluster, home) > 0.0,
        "no request had to move: the test tests nothing"
    );
    Ok(())
}

#[test]
fn frozen_home_loses_no_request_of_other_entries() -> Result<()> {
    let cluster = start(4, 2)?;
    let home = home_of(&cluster)?;
    let plan = streams(others(&cluster, home), 40.0, 4.0)?;
    let samples = run_with(&plan, || {
        wait_until("requests run", || running(&cluster) > 4)?;
        cluster.vms[home].entry.signal(Signal::STOP)?;
        wait_until("requests move", || lost_homes(&cluster, home) > 0.0)?;
        cluster.vms[home].entry.signal(Signal::CONT)
    })?;
    assert_eq!(not_whole(&samples), Vec::<&load::Outcome>::new());
    Ok(())
}

#[test]
fn stopping_home_cuts_no_request_of_other_entries() -> Result<()> {
    let mut cluster = start(4, 2)?;
    let home = home_of(&cluster)?;
    let plan = streams(others(&cluster, home), 40.0, 3.0)?;
    let samples = run_with(&plan, || {
        wait_until("requests run", || running(&cluster) > 4)?;
        let status = cluster.vms[home].entry.stop()?;
        assert!(status.success());
        Ok(())
    })?;
    assert_eq!(not_whole(&samples), Vec::<&load::Outcome>::new());
    Ok(())
}

/// Requests that run at the engines.
fn running(cluster: &Cluster) -> u64 {
    #[derive(serde::Deserialize)]
    struct Load {
        running: u64,
        waiting: u64,
    }
    let Ok(model) = MODEL.parse() else { return 0 };
    let loads = cluster.serving(&model).into_iter();
    let loads = loads.filter_map(|e| cluster.http.get::<Load>(e.addr, "/load").ok());
    loads.map(|l| l.running + l.waiting).sum()
}
