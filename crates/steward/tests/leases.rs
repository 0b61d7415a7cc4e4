//! Leases and endpoint orders with real processes: the platform's record shows who ordered what.

mod common;

use {
    common::{TERM_MS, Zone, check_orders},
    coord::LeaseStep,
    eyre::Result,
    harness::wait_until,
    rustix::process::Signal,
    standin::platform::PlatformFaults,
};

fn slow() -> PlatformFaults {
    PlatformFaults {
        delay_ms: 150,
        ..PlatformFaults::default()
    }
}

#[test]
fn a_holder_paused_amid_orders_orders_nothing_after_its_successor() -> Result<()> {
    let zone = Zone::start(2, TERM_MS)?;
    let old = zone.holder()?;
    zone.fault(slow())?;
    zone.want()?;
    zone.wait_orders("two orders", 2)?;
    zone.signal(&old, Signal::STOP)?;
    let paused = zone.orders()?.len();
    let claimed = zone.next_renewal(&old)?;
    let records = zone.leases()?;
    let last = records.iter().rev().find(|(_, r)| r.holder.vm == old);
    let (last, _) = last.expect("the holder renewed");
    println!(
        "pause: claim {} ms after the last renewal",
        claimed - last.at_ms
    );
    wait_until("the successor orders", || {
        zone.orders()
            .is_ok_and(|o| o.len() > paused && o.last().is_some_and(|o| o.order.sender != old))
    })?;
    zone.signal(&old, Signal::CONT)?;
    zone.wait_filled()?;
    zone.run_on()?;
    check_orders(&zone.orders()?);
    zone.cluster.stop()
}

#[test]
fn lost_answers_order_nothing_twice() -> Result<()> {
    // Long enough to be kept through lost answers: only the order ids keep the count right.
    let zone = Zone::start(2, 3 * TERM_MS)?;
    zone.holder()?;
    zone.fault(slow())?;
    let losing = |lose_answers| PlatformFaults {
        lose_answers,
        ..slow()
    };
    zone.want()?;
    zone.fault(losing(4))?;
    zone.wait_orders("one order", 1)?;
    zone.fault(losing(6))?;
    zone.wait_filled()?;
    zone.run_on()?;
    let orders = zone.orders()?;
    check_orders(&orders);
    assert!(
        orders.iter().any(|o| o.repeated),
        "no order's answer was lost"
    );
    zone.cluster.stop()
}

#[test]
fn orders_go_on_after_the_platform_was_away() -> Result<()> {
    let zone = Zone::start(3, TERM_MS)?;
    let old = zone.holder()?;
    zone.fault(slow())?;
    zone.want()?;
    zone.wait_orders("one order", 1)?;
    zone.fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    })?;
    let steward = zone.cluster.vms.iter().find(|v| v.vm == old);
    let steward = steward.and_then(|v| v.steward.as_ref());
    wait_until("the holder lets go", || {
        let lines = steward
            .map(harness::ChildProcess::lines)
            .unwrap_or_default();
        lines.iter().any(|l| l.contains("lease no longer held"))
    })?;
    zone.fault(PlatformFaults::default())?;
    zone.wait_filled()?;
    zone.run_on()?;
    check_orders(&zone.orders()?);
    zone.cluster.stop()
}

#[test]
fn a_planned_stop_hands_over_at_once_and_one_of_two_racing_claims_wins() -> Result<()> {
    let mut zone = Zone::start(3, TERM_MS)?;
    let old = zone.holder()?;
    zone.fault(slow())?;
    let index = zone.cluster.vms.iter().position(|v| v.vm == old);
    let vm = &mut zone.cluster.vms[index.expect("the holder is one of the VMs")];
    let mut steward = vm.steward.take().expect("the steward runs");
    assert!(steward.stop()?.success());
    let claimed = zone.next_renewal(&old)?;
    let records = zone.leases()?;
    let mut releases = records.iter();
    let release = releases.find(|(_, r)| matches!(r.step, LeaseStep::Release(_)));
    let (release, _) = release.expect("the holder released the lease");
    let rivals = records
        .iter()
        .filter(|(_, r)| r.step == LeaseStep::Claim && r.base.after == [release.offset]);
    assert_eq!(rivals.count(), 2, "both rivals claim on the release");
    let gap = claimed - release.at_ms;
    println!("planned stop: nobody in charge for {gap} ms");
    assert!(gap < TERM_MS, "{gap} ms");
    zone.want()?;
    zone.wait_filled()?;
    zone.run_on()?;
    check_orders(&zone.orders()?);
    zone.cluster.stop()
}

#[test]
fn a_crashed_holder_is_replaced() -> Result<()> {
    let mut zone = Zone::start(2, TERM_MS)?;
    let old = zone.holder()?;
    let mut vms = zone.cluster.vms.iter_mut();
    let vm = vms
        .find(|v| v.vm == old)
        .expect("the holder is one of the VMs");
    vm.steward.take().expect("the steward runs").kill()?;
    let claimed = zone.next_renewal(&old)?;
    let records = zone.leases()?;
    let last = records.iter().rev().find(|(_, r)| r.holder.vm == old);
    let (last, _) = last.expect("the holder renewed");
    println!(
        "crash: claim {} ms after the last renewal",
        claimed - last.at_ms
    );
    zone.want()?;
    zone.wait_filled()?;
    check_orders(&zone.orders()?);
    zone.cluster.stop()
}
