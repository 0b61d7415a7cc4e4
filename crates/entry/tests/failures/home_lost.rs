//! The home VM of a model is killed, frozen or stopped while requests of other entries wait and run
//! under its scheduler. None of these requests may be lost.

use {
    crate::common::{MODEL, incomplete, run_with, start, streams},
    eyre::{Result, eyre},
    harness::{Cluster, wait_until},
    rustix::process::Signal,
    std::net::SocketAddr,
};

/// Index of the model's home VM, by the same ranking that the entries use.
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

/// Addresses of the entries other than the home VM. The home VM's own callers lose their
/// connections when it dies.
fn others(cluster: &Cluster, home: usize) -> Vec<SocketAddr> {
    let vms = cluster.vms.iter().enumerate().filter(|(i, _)| *i != home);
    vms.map(|(_, v)| v.callers).collect()
}

fn homes_lost(cluster: &Cluster, home: usize) -> f64 {
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
    assert_eq!(incomplete(&samples), Vec::<&load::Outcome>::new());
    assert!(
        homes_lost(&cluster, home) > 0.0,
        "no request had to move: the test has checked nothing"
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
        wait_until("requests move", || homes_lost(&cluster, home) > 0.0)?;
        cluster.vms[home].entry.signal(Signal::CONT)
    })?;
    assert_eq!(incomplete(&samples), Vec::<&load::Outcome>::new());
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
    assert_eq!(incomplete(&samples), Vec::<&load::Outcome>::new());
    Ok(())
}

/// Requests that run or wait at the engines.
fn running(cluster: &Cluster) -> u64 {
    #[derive(serde::Deserialize)]
    struct Load {
        running: u64,
        waiting: u64,
    }
    let Ok(model) = MODEL.parse() else { return 0 };
    let loads = cluster.endpoints_serving(&model).into_iter();
    let loads = loads.filter_map(|e| cluster.http.get::<Load>(e.addr, "/load").ok());
    loads.map(|l| l.running + l.waiting).sum()
}
