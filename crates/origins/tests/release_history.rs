//! Which release is the sole one, and which may be used.

mod origin_common;

use {
    clock::Instant,
    origin_common::{WINDOW, at, release, service},
    origins::ReleaseHistory,
    types::{Release, ServiceId},
};

fn read(history: &mut ReleaseHistory, now: Instant, releases: &[Option<u64>]) {
    let service = service();
    let releases: Vec<_> = releases.iter().map(|r| r.map(release)).collect();
    let endpoints = releases.iter().map(|r| (&service, r.as_ref()));
    history.replace(now, now, endpoints);
}

/// Reads the list four times a second.
fn follow(history: &mut ReleaseHistory, from: u64, to: u64, releases: &[Option<u64>]) {
    for ms in (from..to).step_by(250) {
        read(history, at(ms), releases);
    }
}

fn new() -> ReleaseHistory {
    let mut history = ReleaseHistory::default();
    history.set_window(at(0), &service(), WINDOW);
    history
}

fn sole(history: &ReleaseHistory, ms: u64) -> Option<Release> {
    history.sole(at(ms), &service())
}

/// A VM that had just started took the release that it saw for the only one.
#[test]
fn release_is_sole_only_after_a_whole_window() {
    let mut history = new();
    follow(&mut history, 0, 59_900, &[Some(1)]);
    assert_eq!(sole(&history, 59_900), None);
    follow(&mut history, 60_000, 60_100, &[Some(1)]);
    assert_eq!(sole(&history, 60_000), Some(release(1)));
}

/// After a rollback streams of the release between were taken for those of the old one.
#[test]
fn rollback_leaves_no_sole_release_for_a_window() {
    let mut history = new();
    follow(&mut history, 0, 120_000, &[Some(1)]);
    follow(&mut history, 120_000, 130_000, &[Some(1), Some(2)]);
    assert_eq!(sole(&history, 129_750), None);
    follow(&mut history, 130_000, 189_000, &[Some(1)]);
    assert_eq!(sole(&history, 189_000), None);
    follow(&mut history, 189_000, 191_000, &[Some(1)]);
    assert_eq!(sole(&history, 191_000), Some(release(1)));
}

/// The old release was inferred while a VM that had just started already used the new one.
#[test]
fn new_release_counts_as_soon_as_it_is_listed() {
    let mut history = new();
    follow(&mut history, 0, 120_000, &[Some(1)]);
    assert_eq!(sole(&history, 120_000), Some(release(1)));
    follow(&mut history, 120_000, 120_250, &[Some(1), Some(2)]);
    for ms in [120_000, 120_250, 121_500] {
        assert_eq!(sole(&history, ms), None, "{ms} ms");
    }
}

/// A release that another VM had settled while this one saw it for a moment didn't count.
#[test]
fn release_counts_at_once_if_it_was_listed_before_or_is_used_or_the_old_one_is_gone() {
    let mut history = new();
    follow(&mut history, 0, 120_000, &[Some(1)]);
    follow(&mut history, 120_000, 120_500, &[Some(1), Some(2)]);
    let mut gone = history.clone();
    follow(&mut gone, 120_500, 120_600, &[Some(2)]);
    assert_eq!(sole(&gone, 120_500), None);
    // It counts before other VMs tell that they use it, which is no news then.
    let mut used = history.clone();
    assert_eq!(sole(&used, 120_500), None);
    assert!(!used.hear(at(120_500), &service(), &release(2)));
    assert_eq!(sole(&used, 120_500), None);
    follow(&mut history, 120_500, 121_000, &[Some(1)]);
    assert_eq!(sole(&history, 120_750), None);
    follow(&mut history, 121_000, 121_250, &[Some(1), Some(2)]);
    assert_eq!(sole(&history, 121_000), None);
    // Nothing is settled at a VM whose list was out of date.
    let mut started = new();
    follow(&mut started, 0, 250, &[Some(1), Some(2)]);
    assert_eq!(sole(&started, 250), None);
}

/// Streams of a release whose last endpoint had gone were taken for those of the other one.
#[test]
fn release_without_endpoints_counts_for_a_window() {
    let mut history = new();
    follow(&mut history, 0, 100_000, &[Some(1), Some(2)]);
    follow(&mut history, 100_000, 159_000, &[Some(2)]);
    assert_eq!(sole(&history, 159_000), None);
    follow(&mut history, 159_000, 161_000, &[Some(2)]);
    assert_eq!(sole(&history, 161_000), Some(release(2)));
    follow(&mut history, 161_000, 170_000, &[]);
    assert_eq!(sole(&history, 170_000), Some(release(2)));
    follow(&mut history, 170_000, 230_000, &[]);
    assert_eq!(sole(&history, 230_000), None);
}

/// An endpoint whose release isn't known was taken for one of the known release.
#[test]
fn endpoint_of_unknown_release_leaves_no_sole_one() {
    let mut history = new();
    follow(&mut history, 0, 100_000, &[Some(1)]);
    follow(&mut history, 100_000, 100_500, &[Some(1), None]);
    follow(&mut history, 100_500, 130_000, &[Some(1)]);
    assert_eq!(sole(&history, 130_000), None);
    let mut history = new();
    follow(&mut history, 0, 100_000, &[None]);
    assert_eq!(sole(&history, 100_000), None);
}

/// A release that came and went while the list could not be read was missed.
#[test]
fn observation_starts_anew_after_a_gap() {
    let mut history = new();
    follow(&mut history, 0, 100_000, &[Some(1)]);
    assert!(history.is_current(at(101_500)));
    assert!(!history.is_current(at(101_501)));
    read(&mut history, at(102_750), &[Some(1)]);
    assert_eq!(sole(&history, 102_750), Some(release(1)));
    read(&mut history, at(105_751), &[Some(1)]);
    assert_eq!(sole(&history, 105_751), None);
    follow(&mut history, 106_000, 167_000, &[Some(1)]);
    assert_eq!(sole(&history, 167_000), Some(release(1)));
}

/// A response that was long under way was taken for a current list.
#[test]
fn age_of_a_list_counts_from_when_its_read_began() {
    let mut history = new();
    history.confirm(at(3_000), at(1_000));
    assert!(!history.is_current(at(3_000)));
}

/// One service's releases decided another one's.
#[test]
fn services_have_releases_of_their_own() {
    let other: ServiceId = "embed".parse().unwrap();
    let mut history = new();
    history.set_window(at(0), &other, WINDOW);
    for ms in (0..100_000).step_by(250) {
        let (own, releases) = (service(), [release(1), release(2)]);
        let list = [
            (&own, Some(&releases[0])),
            (&other, Some(&releases[0])),
            (&other, Some(&releases[1])),
        ];
        history.replace(at(ms), at(ms), list);
    }
    assert_eq!(sole(&history, 100_000), Some(release(1)));
    assert_eq!(history.sole(at(100_000), &other), None);
    let unlisted: ServiceId = "none".parse().unwrap();
    assert_eq!(history.sole(at(100_000), &unlisted), None);
}

/// A shorter window counted at once, for streams that began under the longer one.
#[test]
fn shorter_window_counts_after_the_longer_one() {
    let mut history = new();
    follow(&mut history, 0, 100_000, &[Some(1), Some(2)]);
    follow(&mut history, 100_000, 120_000, &[Some(2)]);
    history.set_window(at(120_000), &service(), WINDOW / 6);
    assert_eq!(sole(&history, 120_000), None);
    follow(&mut history, 120_000, 159_000, &[Some(2)]);
    assert_eq!(sole(&history, 159_000), None);
    let longer = WINDOW * 2;
    history.set_window(at(159_000), &service(), longer);
    follow(&mut history, 159_000, 200_000, &[Some(2)]);
    assert_eq!(sole(&history, 200_000), None);
    follow(&mut history, 200_000, 221_000, &[Some(2)]);
    assert_eq!(sole(&history, 221_000), Some(release(2)));
}

/// A release that another VM used already, and this VM's list didn't show, left the old one sole.
#[test]
fn release_that_another_vm_uses_counts_as_listed() {
    let mut history = new();
    follow(&mut history, 0, 100_000, &[Some(1)]);
    assert!(history.hear(at(100_000), &service(), &release(2)));
    assert!(!history.hear(at(100_001), &service(), &release(2)));
    assert_eq!(sole(&history, 100_000), None);
    follow(&mut history, 100_000, 161_000, &[Some(1)]);
    assert_eq!(sole(&history, 161_000), Some(release(1)));
    // News of its last streams doesn't make it last longer.
    follow(&mut history, 161_000, 180_000, &[Some(1), Some(2)]);
    follow(&mut history, 180_000, 220_000, &[Some(1)]);
    history.hear(at(220_000), &service(), &release(2));
    follow(&mut history, 220_000, 241_000, &[Some(1)]);
    assert_eq!(sole(&history, 241_000), Some(release(1)));
}

/// A VM began streams at a new release while others still took the old one for the sole one.
#[test]
fn new_release_is_used_once_all_vms_know_it() {
    let settled = |h: &ReleaseHistory, ms, r| h.is_settled(at(ms), &service(), Some(&release(r)));
    let mut history = new();
    follow(&mut history, 0, 10_000, &[Some(1)]);
    assert!(settled(&history, 250, 1), "alone from the start");
    follow(&mut history, 10_000, 13_000, &[Some(1), Some(2)]);
    assert!(settled(&history, 12_900, 1));
    assert!(!settled(&history, 12_900, 2));
    follow(&mut history, 13_000, 13_250, &[Some(1), Some(2)]);
    assert!(settled(&history, 13_000, 2));
    // The old one is replaced at once.
    follow(&mut history, 20_000, 22_000, &[Some(3)]);
    assert!(!settled(&history, 22_000, 3));
    follow(&mut history, 22_000, 23_250, &[Some(3)]);
    assert!(settled(&history, 23_000, 3));
}

/// A release that came back after a moment's absence, before any VM could have learned of it, counted
/// as known.
#[test]
fn release_that_flickers_settles_anew() {
    let mut history = new();
    follow(&mut history, 0, 10_000, &[Some(1)]);
    follow(&mut history, 10_000, 10_250, &[Some(1), Some(2)]);
    follow(&mut history, 10_250, 11_750, &[Some(1)]);
    follow(&mut history, 11_750, 13_000, &[Some(1), Some(2)]);
    assert!(!history.is_settled(at(13_000), &service(), Some(&release(2))));
    // The old one's last endpoint restarts.
    follow(&mut history, 13_000, 20_000, &[Some(1), Some(2)]);
    follow(&mut history, 20_000, 21_000, &[Some(2)]);
    follow(&mut history, 21_000, 21_250, &[Some(1), Some(2)]);
    assert!(history.is_settled(at(21_000), &service(), Some(&release(1))));
}

/// Many releases made the history grow without bound.
#[test]
fn many_releases_restart_the_observation() {
    let mut history = new();
    for number in 0..200 {
        read(&mut history, at(250 * number), &[Some(number)]);
    }
    follow(&mut history, 50_000, 100_000, &[Some(1)]);
    assert_eq!(sole(&history, 100_000), None);
    follow(&mut history, 100_000, 112_000, &[Some(1)]);
    assert_eq!(sole(&history, 112_000), Some(release(1)));
}

/// A VM whose list was not read for almost three seconds inferred the old release while another one used
/// the new one.
#[test]
fn release_that_appeared_in_a_gap_counts_at_once() {
    let mut history = new();
    follow(&mut history, 0, 120_000, &[Some(1)]);
    for gap in [1_800, 2_400, 2_900] {
        let mut history = history.clone();
        let now = 119_750 + gap;
        read(&mut history, at(now), &[Some(1), Some(2)]);
        // Another VM may have seen it right after the last read.
        assert_eq!(sole(&history, 119_750 + 3_000), None, "gap of {gap} ms");
    }
}

/// A VM that had just been started beside two releases began no streams for three seconds.
#[test]
fn releases_of_the_first_list_are_settled() {
    let mut history = new();
    read(&mut history, at(1_000), &[Some(1), Some(2)]);
    for number in [1, 2] {
        assert!(history.is_settled(at(1_000), &service(), Some(&release(number))));
    }
    read(&mut history, at(1_250), &[Some(1), Some(2), Some(3)]);
    assert!(!history.is_settled(at(1_250), &service(), Some(&release(3))));
}
