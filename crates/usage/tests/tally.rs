//! Usage tallies: each request once, in whatever order records come.

use {
    quickcheck::{Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
    types::{Incarnation, OrgId},
    usage::{WindowCountRecord, WindowCounter, WindowTotals, window_at},
};

const SEED: u64 = 21;

fn org(at: u8) -> OrgId {
    format!("o{}", at % 4).parse().unwrap()
}

/// Requests by VM, window and organisation; records are stored after some of them, shuffled and doubled.
fn adds_up(requests: Vec<(u8, u8, u8, bool)>, order: u64) -> bool {
    let mut truth: BTreeMap<u64, BTreeMap<OrgId, u64>> = BTreeMap::new();
    let mut tallies: BTreeMap<u8, WindowCounter> = BTreeMap::new();
    let mut records = Vec::new();
    let mut take = |vm: u8, tally: &mut WindowCounter| {
        for (window, counts) in tally.take_changed() {
            records.push(WindowCountRecord {
                vm: format!("vm-{vm}").parse().unwrap(),
                inc: Incarnation(1),
                window,
                counts,
            });
        }
    };
    for (vm, window, tenant, stores) in requests {
        let (vm, window) = (vm % 3, 100 + u64::from(window % 3));
        let tally = tallies.entry(vm).or_default();
        tally.count(window, &org(tenant));
        *truth
            .entry(window)
            .or_default()
            .entry(org(tenant))
            .or_default() += 1;
        if stores {
            take(vm, tally);
        }
    }
    for (vm, tally) in &mut tallies {
        take(*vm, tally);
    }
    let mut rng = fastrand::Rng::with_seed(order);
    records.extend(records.clone());
    rng.shuffle(&mut records);
    let mut book = WindowTotals::default();
    records.into_iter().for_each(|r| book.fold(r));
    truth
        .into_iter()
        .all(|(window, counts)| book.total(window) == counts)
}

#[test]
fn sums_are_the_truth() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
        .quickcheck(adds_up as fn(Vec<(u8, u8, u8, bool)>, u64) -> bool);
}

#[test]
fn counts_that_could_not_be_stored_come_again() {
    let mut tally = WindowCounter::default();
    tally.count(7, &org(1));
    assert_eq!(tally.take_changed().len(), 1);
    assert!(tally.take_changed().is_empty());
    tally.mark_changed(7);
    assert_eq!(tally.take_changed().len(), 1);
}

#[test]
fn windows_begin_at_multiples_of_their_length() {
    let length = Duration::from_secs(5);
    assert_eq!(window_at(Duration::from_millis(9_999), length), 1);
    assert_eq!(window_at(Duration::from_millis(10_000), length), 2);
}
