//! `celeryctl show leases` against a running zone.

mod common;

use {
    common::{TERM_MS, TestZone},
    eyre::Result,
    harness::ChildProcess,
    serde_json::Value,
};

fn show(zone: &TestZone, json: bool) -> Result<String> {
    let platform = zone.cluster.platform_addr.to_string();
    let mut args = vec!["show", "leases", "--platform", &platform];
    args.extend(json.then_some("--json"));
    let mut proc = ChildProcess::start("celeryctl", &args)?;
    assert!(proc.wait()?.success());
    Ok(proc.lines().join("\n"))
}

#[test]
fn show_leases_names_the_holder() -> Result<()> {
    let zone = TestZone::start(2, TERM_MS)?;
    let holder = zone.holder()?;
    let shown: Value = serde_json::from_str(&show(&zone, true)?)?;
    let leases = shown["leases"].as_array().expect("a list of leases");
    let orders = leases.iter().find(|l| l["lease"]["role"] == "orders");
    let orders = orders.expect("the lease for orders");
    assert_eq!(orders["status"], "held");
    assert_eq!(orders["vm"], holder.as_str());
    assert!(orders["since_ms"].as_u64() <= orders["renewed_ms"].as_u64());
    let table = show(&zone, false)?;
    assert!(table.contains("orders/ernakulam"), "{table}");
    assert!(table.contains("orders in flight: 0"), "{table}");
    zone.cluster.stop()
}
