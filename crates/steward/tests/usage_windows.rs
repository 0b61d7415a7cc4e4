//! Usage windows with real processes: faults of the platform, crashed and paused stewards.

mod billing;

use {
    billing::{Totals, Zone, figures, totals},
    eyre::Result,
    harness::wait_until,
    rustix::process::Signal,
    standin::platform::{PlatformFaults, ReceivedReport},
    std::collections::BTreeSet,
};

const SEED: u64 = 6;
const WINDOW_MS: u64 = 700;

/// A fault under which calls take effect and are never answered.
fn every_answer_lost() -> PlatformFaults {
    PlatformFaults {
        lose_answers: u32::MAX,
        ..PlatformFaults::default()
    }
}

/// Reports of windows that were reported before.
fn repeats(reports: &[ReceivedReport]) -> usize {
    let windows: BTreeSet<_> = reports.iter().map(|r| &r.report.window).collect();
    reports.len() - windows.len()
}

/// Lost answers and an outage of the platform neither lose nor double any usage.
#[test]
fn usage_survives_lost_answers_and_an_outage() -> Result<()> {
    let zone = Zone::start(2, WINDOW_MS)?;
    let load = zone.load(zone.cluster.caller_addrs(), 8.0, 15.0, SEED)?;
    zone.sender_after(1)?;
    zone.fault(every_answer_lost())?;
    wait_until("a report is sent again after its answer was lost", || {
        zone.reports().is_ok_and(|r| repeats(&r) > 0)
    })?;
    zone.fault(PlatformFaults::default())?;
    let seen = zone.reports()?.len();
    zone.sender_after(seen)?;
    zone.fault(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    })?;
    let _ = load.join();
    zone.fault(PlatformFaults::default())?;
    zone.wait_reported()?;
    zone.cluster.stop()
}

/// After a crash of the reporting steward another one goes on, with the same figures.
#[test]
fn usage_survives_a_crash_of_its_holder() -> Result<()> {
    let mut zone = Zone::start(3, WINDOW_MS)?;
    let load = zone.load(zone.cluster.caller_addrs(), 6.0, 15.0, SEED)?;
    zone.sender_after(1)?;
    zone.fault(every_answer_lost())?;
    let seen = zone.reports()?.len();
    let holder = zone.sender_after(seen)?;
    let at = zone.place(&holder)?;
    if let Some(mut steward) = zone.cluster.vms[at].steward.take() {
        steward.kill()?;
    }
    let last = zone.reports()?.pop();
    let window = last.map(|r| r.report.window);
    zone.fault(PlatformFaults::default())?;
    wait_until("the successor repeats the report without an answer", || {
        let reports = zone.reports().unwrap_or_default();
        let mut of = reports
            .iter()
            .filter(|r| Some(&r.report.window) == window.as_ref());
        of.any(|r| r.report.sender != holder)
    })?;
    let _ = load.join();
    zone.wait_reported()?;
    zone.cluster.stop()
}

/// A steward that was paused past its lease reports nothing after its successor's first report.
#[test]
fn a_paused_holder_reports_nothing_more() -> Result<()> {
    let zone = Zone::start(3, WINDOW_MS)?;
    let load = zone.load(zone.cluster.caller_addrs(), 10.0, 10.0, SEED)?;
    let old = zone.sender_after(1)?;
    let at = zone.place(&old)?;
    if let Some(steward) = &zone.cluster.vms[at].steward {
        steward.signal(Signal::STOP)?;
    }
    let seen = zone.reports()?.len();
    let new = zone.sender_after(seen)?;
    assert_ne!(new, old);
    if let Some(steward) = &zone.cluster.vms[at].steward {
        steward.signal(Signal::CONT)?;
    }
    let _ = load.join();
    zone.wait_reported()?;
    let reports = zone.reports()?;
    let senders: Vec<_> = reports.iter().map(|r| &r.report.sender).collect();
    let first = senders.iter().position(|s| **s == new);
    let later = &senders[first.unwrap_or_default()..];
    assert!(!later.contains(&&old), "{senders:?}");
    zone.cluster.stop()
}

/// What was collected before an entry's crash is reported; what it counted after is lost.
#[test]
fn a_crashed_entry_loses_only_uncollected_usage() -> Result<()> {
    const LONG_WINDOW_MS: u64 = 5_000;
    let mut zone = Zone::start(2, LONG_WINDOW_MS)?;
    let entry = zone.cluster.vms[0].callers;
    let sent = zone.load(vec![entry], 2.0, 10.0, SEED)?.join();
    let made = zone.executed()?;
    let requests: u64 = made.values().map(|(requests, _)| requests).sum();
    assert_eq!(sent.ok(), Some(requests));
    wait_until("all usage is held or reported", || {
        let held = zone.held();
        let reported = zone.reports().and_then(|r| totals(&r)).unwrap_or_default();
        let reported: u64 = reported.values().map(|(n, _)| n).sum();
        held + reported >= requests
    })?;
    zone.cluster.vms[0].entry.kill()?;
    zone.cluster.vms[0].restart_entry()?;
    zone.wait_reported()?;
    let reports = zone.reports()?;
    let windows: BTreeSet<_> = figures(&reports)?.into_keys().collect();
    assert!(!windows.is_empty());
    zone.cluster.stop()
}

/// Prints the usage that a crash of an entry loses, when it comes `more` requests after a report.
fn crash_under_load(pull_ms: u64, more: u64) -> Result<()> {
    const RATE: f64 = 100.0;
    let mut zone = Zone::with_pull(2, WINDOW_MS, pull_ms)?;
    let entry = zone.cluster.vms[0].callers;
    let load = zone.load(vec![entry], 5.0, RATE, SEED)?;
    zone.sender_after(1)?;
    let count = |totals: Totals| totals.values().map(|(requests, _)| requests).sum::<u64>();
    let made = || zone.executed().map(count);
    let due = made()? + more;
    wait_until("further requests", || made().is_ok_and(|n| n >= due))?;
    zone.cluster.vms[0].entry.kill()?;
    let answered = load.join().unwrap_or_default();
    zone.cluster.vms[0].restart_entry()?;
    zone.cluster.vms[0].wait_ready(&zone.cluster.http)?;
    let seen = zone.reports()?.len();
    let after = zone.load(vec![entry], 1.0, RATE, SEED + 1)?.join();
    let after = after.unwrap_or_default();
    zone.sender_after(seen)?;
    let reported = || zone.reports().and_then(|r| totals(&r)).map(count);
    wait_until("what was counted after the crash is reported", || {
        zone.held() == 0 && reported().is_ok_and(|n| n >= after)
    })?;
    let (reported, made) = (reported()?, count(zone.executed()?));
    let answered = answered + after;
    println!(
        "collected every {pull_ms} ms, {} requests/s: made {made}, answered {answered}, \
         reported {reported}, lost {}",
        2.0 * RATE,
        answered.saturating_sub(reported),
    );
    assert!(reported <= made);
    zone.cluster.stop()
}

/// A crash under load never makes the figures larger than the work done; the loss is printed.
#[test]
fn a_crash_under_load_reports_nothing_twice() -> Result<()> {
    for (pull_ms, more) in [(100, 10), (1_000, 50), (1_000, 110), (1_000, 170)] {
        crash_under_load(pull_ms, more)?;
    }
    Ok(())
}
