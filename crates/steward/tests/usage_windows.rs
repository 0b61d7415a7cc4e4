//! Usage windows with real processes, under platform faults and with crashed or paused stewards.

mod billing;

use {
    billing::{TestZone, Totals, figures, totals},
    eyre::Result,
    harness::wait_until,
    rustix::process::Signal,
    standin::platform::{PlatformFaults, ReceivedReport},
    std::collections::BTreeSet,
};

const SEED: u64 = 6;
const WINDOW_MS: u64 = 700;

/// A fault under which calls take effect but all responses are lost.
fn all_responses_lost() -> PlatformFaults {
    PlatformFaults {
        lose_answers: u32::MAX,
        ..PlatformFaults::default()
    }
}

/// Number of reports for windows that were reported before.
fn repeated_reports(reports: &[ReceivedReport]) -> usize {
    let windows: BTreeSet<_> = reports.iter().map(|r| &r.report.window).collect();
    reports.len() - windows.len()
}

/// Lost responses and a platform outage neither lose nor duplicate usage.
#[test]
fn usage_survives_lost_responses_and_an_outage() -> Result<()> {
    let zone = TestZone::start(2, WINDOW_MS)?;
    let load = zone.load(zone.cluster.caller_addrs(), 8.0, 15.0, SEED)?;
    zone.sender_after(1)?;
    zone.inject_fault(all_responses_lost())?;
    wait_until("a report is sent again after its response was lost", || {
        zone.reports().is_ok_and(|r| repeated_reports(&r) > 0)
    })?;
    zone.inject_fault(PlatformFaults::default())?;
    let seen = zone.reports()?.len();
    zone.sender_after(seen)?;
    zone.inject_fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    })?;
    let _ = load.join();
    zone.inject_fault(PlatformFaults::default())?;
    zone.wait_reported()?;
    zone.cluster.stop()
}

/// After the reporting steward crashed, another one continues with the same figures.
#[test]
fn usage_survives_a_crash_of_the_lease_holder() -> Result<()> {
    let mut zone = TestZone::start(3, WINDOW_MS)?;
    let load = zone.load(zone.cluster.caller_addrs(), 6.0, 15.0, SEED)?;
    zone.sender_after(1)?;
    zone.inject_fault(all_responses_lost())?;
    let seen = zone.reports()?.len();
    let holder = zone.sender_after(seen)?;
    let index = zone.vm_index(&holder)?;
    if let Some(mut steward) = zone.cluster.vms[index].steward.take() {
        steward.kill()?;
    }
    let last = zone.reports()?.pop();
    let window = last.map(|r| r.report.window);
    zone.inject_fault(PlatformFaults::default())?;
    wait_until("the successor repeats the unacknowledged report", || {
        let reports = zone.reports().unwrap_or_default();
        let mut resent = reports
            .iter()
            .filter(|r| Some(&r.report.window) == window.as_ref());
        resent.any(|r| r.report.sender != holder)
    })?;
    let _ = load.join();
    zone.wait_reported()?;
    zone.cluster.stop()
}

/// A steward that is paused until its lease has expired sends no report after its successor's first
/// one.
#[test]
fn a_paused_holder_sends_no_reports_after_its_successor() -> Result<()> {
    let zone = TestZone::start(3, WINDOW_MS)?;
    let load = zone.load(zone.cluster.caller_addrs(), 10.0, 10.0, SEED)?;
    let first_holder = zone.sender_after(1)?;
    let index = zone.vm_index(&first_holder)?;
    if let Some(steward) = &zone.cluster.vms[index].steward {
        steward.signal(Signal::STOP)?;
    }
    let seen = zone.reports()?.len();
    let successor = zone.sender_after(seen)?;
    assert_ne!(successor, first_holder);
    if let Some(steward) = &zone.cluster.vms[index].steward {
        steward.signal(Signal::CONT)?;
    }
    let _ = load.join();
    zone.wait_reported()?;
    let reports = zone.reports()?;
    let senders: Vec<_> = reports.iter().map(|r| &r.report.sender).collect();
    let first = senders.iter().position(|s| **s == successor);
    let later = &senders[first.unwrap_or_default()..];
    assert!(!later.contains(&&first_holder), "{senders:?}");
    zone.cluster.stop()
}

/// Counts collected before an entry's crash are reported; only later ones are lost.
#[test]
fn a_crashed_entry_loses_only_uncollected_usage() -> Result<()> {
    const LONG_WINDOW_MS: u64 = 5_000;
    let mut zone = TestZone::start(2, LONG_WINDOW_MS)?;
    let entry = zone.cluster.vms[0].callers;
    let sent = zone.load(vec![entry], 2.0, 10.0, SEED)?.join();
    let executed = zone.executed()?;
    let requests: u64 = executed.values().map(|(requests, _)| requests).sum();
    assert_eq!(sent.ok(), Some(requests));
    wait_until("all usage is collected or reported", || {
        // Reported first: a window that is reported meanwhile must not count twice.
        let reported = zone.reports().and_then(|r| totals(&r)).unwrap_or_default();
        let reported: u64 = reported.values().map(|(n, _)| n).sum();
        reported + zone.unsealed_requests() >= requests
    })?;
    zone.cluster.vms[0].entry.kill()?;
    zone.cluster.vms[0].restart_entry()?;
    zone.wait_reported()?;
    let reports = zone.reports()?;
    let windows: BTreeSet<_> = figures(&reports)?.into_keys().collect();
    assert!(!windows.is_empty());
    zone.cluster.stop()
}

/// Crashes an entry after `extra_requests` requests past a report, and prints how much usage is
/// lost.
fn crash_under_load(pull_ms: u64, extra_requests: u64) -> Result<()> {
    const RATE: f64 = 100.0;
    let mut zone = TestZone::start_with_pull(2, WINDOW_MS, pull_ms)?;
    let entry = zone.cluster.vms[0].callers;
    let load = zone.load(vec![entry], 5.0, RATE, SEED)?;
    zone.sender_after(1)?;
    let count = |totals: Totals| totals.values().map(|(requests, _)| requests).sum::<u64>();
    let executed = || zone.executed().map(count);
    let due = executed()? + extra_requests;
    wait_until("further requests", || executed().is_ok_and(|n| n >= due))?;
    zone.cluster.vms[0].entry.kill()?;
    let answered = load.join().unwrap_or_default();
    zone.cluster.vms[0].restart_entry()?;
    zone.cluster.vms[0].wait_ready(&zone.cluster.http)?;
    let seen = zone.reports()?.len();
    let after = zone.load(vec![entry], 1.0, RATE, SEED + 1)?.join();
    let after = after.unwrap_or_default();
    zone.sender_after(seen)?;
    let reported = || zone.reports().and_then(|r| totals(&r)).map(count);
    wait_until("the requests after the crash are reported", || {
        zone.unsealed_requests() == 0 && reported().is_ok_and(|n| n >= after)
    })?;
    let (reported, executed) = (reported()?, count(zone.executed()?));
    let answered = answered + after;
    println!(
        "collected every {pull_ms} ms, {} requests/s: executed {executed}, answered {answered}, \
         reported {reported}, lost {}",
        2.0 * RATE,
        answered.saturating_sub(reported),
    );
    assert!(reported <= executed);
    zone.cluster.stop()
}

/// After a crash of an entry under load, the reported figures never exceed the executed requests.
/// The loss is printed.
#[test]
fn a_crash_under_load_never_inflates_usage() -> Result<()> {
    for (pull_ms, extra_requests) in [(100, 10), (1_000, 50), (1_000, 110), (1_000, 170)] {
        crash_under_load(pull_ms, extra_requests)?;
    }
    Ok(())
}
