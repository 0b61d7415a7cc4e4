//! Window counts: each request counts once, whatever the order and repetition of records.

use {
    quickcheck::{Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
    types::{Incarnation, OrgId},
    usage::{CountBacklog, WindowCountRecord, WindowCounter, WindowTotals, window_at},
};

const SEED: u64 = 21;

fn org(index: u8) -> OrgId {
    format!("o{}", index % 4).parse().unwrap()
}

/// Counts requests given as (VM, window, organisation, whether a record is published after it),
/// then applies all records twice in random order.
fn totals_match(requests: Vec<(u8, u8, u8, bool)>, shuffle_seed: u64) -> bool {
    let mut expected: BTreeMap<u64, BTreeMap<OrgId, u64>> = BTreeMap::new();
    let mut counters: BTreeMap<u8, WindowCounter> = BTreeMap::new();
    let mut records = Vec::new();
    let mut publish = |vm: u8, counter: &mut WindowCounter| {
        for changed in counter.take_changed(102) {
            records.push(WindowCountRecord {
                vm: format!("vm-{vm}").parse().unwrap(),
                incarnation: Incarnation(1),
                window: changed.window,
                counts: changed.counts,
                complete: changed.complete,
                stopped: false,
            });
        }
    };
    for (vm, window, org_index, publishes) in requests {
        let (vm, window) = (vm % 3, 100 + u64::from(window % 3));
        let counter = counters.entry(vm).or_default();
        counter.count(window, &org(org_index));
        *expected
            .entry(window)
            .or_default()
            .entry(org(org_index))
            .or_default() += 1;
        if publishes {
            publish(vm, counter);
        }
    }
    for (vm, counter) in &mut counters {
        publish(*vm, counter);
    }
    let mut rng = fastrand::Rng::with_seed(shuffle_seed);
    records.extend(records.clone());
    rng.shuffle(&mut records);
    let mut totals = WindowTotals::default();
    records.into_iter().for_each(|r| totals.fold(r));
    expected
        .into_iter()
        .all(|(window, counts)| totals.total(window) == counts)
}

#[test]
fn totals_match_under_repeated_and_reordered_records() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
        .quickcheck(totals_match as fn(Vec<(u8, u8, u8, bool)>, u64) -> bool);
}

#[test]
fn counts_that_could_not_be_stored_are_published_again() {
    let mut counter = WindowCounter::default();
    counter.count(7, &org(1));
    assert_eq!(counter.take_changed(7).len(), 1);
    assert!(counter.take_changed(7).is_empty());
    counter.mark_changed(7);
    assert_eq!(counter.take_changed(7).len(), 1);
}

/// Counts were lost with the VM that had taken them to store them.
#[test]
fn latest_windows_are_published_again_when_another_process_stores_them() {
    let mut counter = WindowCounter::default();
    counter.count(7, &org(1));
    assert_eq!(counter.take_changed(7).len(), 1);
    counter.mark_recent();
    let again = counter.take_changed(8);
    let seven = again.iter().find(|c| c.window == 7).unwrap();
    assert_eq!(seven.counts.get(&org(1)), Some(&1));
    assert!(seven.complete);
}

/// A VM that had stopped or restarted held up all windows after it.
#[test]
fn processes_that_ended_are_not_waited_for() {
    let record = |incarnation, window, complete, stopped| WindowCountRecord {
        vm: "vm-1".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        window,
        counts: BTreeMap::new(),
        complete,
        stopped,
    };
    let mut totals = WindowTotals::default();
    totals.fold(record(1, 7, false, false));
    assert_eq!(totals.missing(7).len(), 1);
    assert_eq!(totals.missing(8).len(), 1);
    totals.fold(record(1, 7, false, true));
    assert!(totals.missing(7).is_empty());
    assert!(totals.missing(8).is_empty());
    totals.fold(record(2, 8, false, false));
    assert_eq!(totals.missing(8).len(), 1);
    totals.fold(record(3, 8, true, false));
    assert!(totals.missing(8).is_empty());
}

/// In a long outage the counts to be stored grew until no append could hold them.
#[test]
fn backlog_of_a_long_outage_is_bounded_and_keeps_the_newest_counts() {
    let mut backlog = CountBacklog::default();
    let record = |window, count| WindowCountRecord {
        vm: "vm-1".parse().unwrap(),
        incarnation: Incarnation(1),
        window,
        counts: [(org(1), count)].into(),
        complete: false,
        stopped: false,
    };
    for window in 0..1_000 {
        (0..5).for_each(|count| backlog.add(record(window, count)));
    }
    backlog.add(record(999, 2));
    backlog.add(record(3, 9));
    let records = backlog.take();
    assert!(records.len() <= 13, "{} records", records.len());
    assert!(records.iter().all(|r| r.counts[&org(1)] == 4));
    assert_eq!(records.last().unwrap().window, 999);
    assert!(backlog.is_empty());
}

#[test]
fn windows_start_at_multiples_of_their_length() {
    let length = Duration::from_secs(5);
    assert_eq!(window_at(Duration::from_millis(9_999), length), 1);
    assert_eq!(window_at(Duration::from_millis(10_000), length), 2);
}
