//! A VM that starts after the oldest configuration records were dropped from the log.

use {
    eyre::Result,
    harness::{Cluster, ClusterSpec, ClusterZone, demo_config, wait_until},
    ports::{Page, Stream},
    standin::platform::PlatformCommand,
};

#[test]
fn a_new_vm_starts_from_a_snapshot_and_the_remaining_records() -> Result<()> {
    let zone = ClusterZone {
        zone: "ernakulam".parse()?,
        vms: 1,
        engines: 1,
        cheap: 0,
        services: 0,
    };
    let mut cluster = Cluster::start(ClusterSpec {
        zones: vec![zone],
        model: "surveyor-llm".parse()?,
        service: "permit-desk".parse()?,
        items: demo_config()?,
        engine_args: Vec::new(),
        entry_settings: String::new(),
        steward_settings: "leases: {spread_ms: 0}\n".into(),
    })?;
    let platform = cluster.platform_addr;
    wait_until("a snapshot is in the log", || {
        let page = cluster.http.get::<Page>(platform, "/log/snapshots?from=0");
        page.is_ok_and(|p| !p.records.is_empty())
    })?;
    cluster.append_change(&conf::Change {
        id: types::RequestId::from_bits(7),
        by: "harness".parse()?,
        ops: Vec::new(),
    })?;
    cluster.control_platform(&PlatformCommand::Retain(Stream::Config, 1))?;
    let page: Page = cluster.http.get(platform, "/log/config?from=0")?;
    assert!(page.first > 0, "the oldest records were dropped");
    let vm = &mut cluster.vms[0];
    let mut steward = vm.steward.take().expect("the steward runs");
    assert!(steward.stop()?.success());
    assert!(vm.entry.stop()?.success());
    vm.restart_entry()?;
    vm.start_steward(platform, "")?;
    let vm = &cluster.vms[0];
    vm.wait_ready(&cluster.http)?;
    wait_until("the remaining records are in force", || {
        let version = cluster.http.metric(vm.admin, "celerystage_config_version");
        version.is_ok_and(|v| v >= page.next as f64)
    })?;
    cluster.stop()
}
