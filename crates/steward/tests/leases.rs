//! Leases and endpoint orders with real processes, checked against the platform's record of orders.

mod common;

use {
    common::{TERM_MS, TestZone, check_orders},
    coord::LeaseStep,
    eyre::Result,
    harness::wait_until,
    rustix::process::Signal,
    standin::platform::PlatformFaults,
};

fn slow_platform() -> PlatformFaults {
    PlatformFaults {
        delay_ms: 150,
        ..PlatformFaults::default()
    }
}

#[test]
fn a_paused_holder_sends_no_orders_after_its_successor() -> Result<()> {
    let zone = TestZone::start(2, TERM_MS)?;
    let first_holder = zone.holder()?;
    zone.inject_fault(slow_platform())?;
    zone.request_endpoints()?;
    zone.wait_orders("two orders", 2)?;
    zone.signal(&first_holder, Signal::STOP)?;
    let paused = zone.orders()?.len();
    let claimed = zone.next_renewal(&first_holder)?;
    let records = zone.leases()?;
    let last = records
        .iter()
        .rev()
        .find(|(_, r)| r.holder.vm == first_holder);
    let (last, _) = last.expect("the holder renewed");
    println!(
        "pause: claim {} ms after the last renewal",
        claimed - last.at_ms
    );
    wait_until("the successor orders", || {
        zone.orders().is_ok_and(|o| {
            o.len() > paused && o.last().is_some_and(|o| o.order.sender != first_holder)
        })
    })?;
    zone.signal(&first_holder, Signal::CONT)?;
    zone.wait_filled()?;
    zone.keep_running()?;
    check_orders(&zone.orders()?);
    zone.cluster.stop()
}

#[test]
fn lost_responses_do_not_duplicate_orders() -> Result<()> {
    // The term is long enough to keep the lease through the lost responses, so that only the order
    // ids prevent duplicates.
    let zone = TestZone::start(2, 3 * TERM_MS)?;
    zone.holder()?;
    zone.inject_fault(slow_platform())?;
    let losing_responses = |lose_answers| PlatformFaults {
        lose_answers,
        ..slow_platform()
    };
    zone.request_endpoints()?;
    zone.inject_fault(losing_responses(4))?;
    zone.wait_orders("one order", 1)?;
    zone.inject_fault(losing_responses(6))?;
    zone.wait_filled()?;
    zone.keep_running()?;
    let orders = zone.orders()?;
    check_orders(&orders);
    assert!(
        orders.iter().any(|o| o.repeated),
        "no response to an order was lost"
    );
    zone.cluster.stop()
}

#[test]
fn orders_resume_after_a_platform_outage() -> Result<()> {
    let zone = TestZone::start(3, TERM_MS)?;
    let first_holder = zone.holder()?;
    zone.inject_fault(slow_platform())?;
    zone.request_endpoints()?;
    zone.wait_orders("one order", 1)?;
    zone.inject_fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    })?;
    let steward = zone.cluster.vms.iter().find(|v| v.vm == first_holder);
    let steward = steward.and_then(|v| v.steward.as_ref());
    wait_until("the holder loses the lease", || {
        let lines = steward
            .map(harness::ChildProcess::lines)
            .unwrap_or_default();
        lines.iter().any(|l| l.contains("lease no longer held"))
    })?;
    zone.inject_fault(PlatformFaults::default())?;
    zone.wait_filled()?;
    zone.keep_running()?;
    check_orders(&zone.orders()?);
    zone.cluster.stop()
}

#[test]
fn a_planned_stop_hands_over_at_once_to_one_of_two_claims() -> Result<()> {
    let mut zone = TestZone::start(3, TERM_MS)?;
    let first_holder = zone.holder()?;
    zone.inject_fault(slow_platform())?;
    let index = zone.cluster.vms.iter().position(|v| v.vm == first_holder);
    let vm = &mut zone.cluster.vms[index.expect("the holder is one of the VMs")];
    let mut steward = vm.steward.take().expect("the steward runs");
    assert!(steward.stop()?.success());
    let claimed = zone.next_renewal(&first_holder)?;
    let records = zone.leases()?;
    let mut releases = records.iter();
    let release = releases.find(|(_, r)| matches!(r.step, LeaseStep::Release(_)));
    let (release, _) = release.expect("the holder released the lease");
    let claims = records
        .iter()
        .filter(|(_, r)| r.step == LeaseStep::Claim && r.base.after == [release.offset]);
    assert_eq!(
        claims.count(),
        2,
        "both other stewards claim after the release"
    );
    let gap = claimed - release.at_ms;
    println!("planned stop: lease not held for {gap} ms");
    assert!(gap < TERM_MS, "{gap} ms");
    zone.request_endpoints()?;
    zone.wait_filled()?;
    zone.keep_running()?;
    check_orders(&zone.orders()?);
    zone.cluster.stop()
}

#[test]
fn a_crashed_holder_is_replaced() -> Result<()> {
    let mut zone = TestZone::start(2, TERM_MS)?;
    let first_holder = zone.holder()?;
    let mut vms = zone.cluster.vms.iter_mut();
    let vm = vms
        .find(|v| v.vm == first_holder)
        .expect("the holder is one of the VMs");
    vm.steward.take().expect("the steward runs").kill()?;
    let claimed = zone.next_renewal(&first_holder)?;
    let records = zone.leases()?;
    let last = records
        .iter()
        .rev()
        .find(|(_, r)| r.holder.vm == first_holder);
    let (last, _) = last.expect("the holder renewed");
    println!(
        "crash: claim {} ms after the last renewal",
        claimed - last.at_ms
    );
    zone.request_endpoints()?;
    zone.wait_filled()?;
    check_orders(&zone.orders()?);
    zone.cluster.stop()
}
