//! Which crashes lead to quarantines, and how these end.

mod crash_common;

use {
    clock::Instant,
    crash_common::{at, part, start_of},
    route::{CrashChange, CrashTable, RequestHash, Suspect},
    std::time::Duration,
};

const TICK: Duration = Duration::from_millis(10);

/// Records a crash that a request with these suspects caused.
fn crash(table: &mut CrashTable, now: Instant, endpoint: usize, suspects: &[u64]) {
    let suspects: Vec<_> = suspects.iter().map(|id| part(*id)).collect();
    let start = start_of(endpoint, 1);
    assert!(table.record_cut(now, &start, &suspects));
    table.end_check(now, &start, true);
}

fn is_refused(table: &CrashTable, now: Instant, id: u64) -> bool {
    table.refused(now, &[part(id)]).is_some()
}

#[test]
fn part_that_was_only_seen_beside_the_deadly_one_is_not_refused() {
    let mut table = CrashTable::default();
    for endpoint in 0..4 {
        crash(&mut table, at(endpoint as u64), endpoint, &[1, 2, 666]);
    }
    crash(&mut table, at(100), 5, &[3, 666]);
    table.update(at(2_000));
    assert!(is_refused(&table, at(2_000), 666));
    assert!(
        [1, 2, 3]
            .iter()
            .all(|id| !is_refused(&table, at(2_000), *id))
    );
}

/// Two parts that were always together were both refused wherever they were.
#[test]
fn parts_that_were_always_together_are_refused_only_together() {
    let mut table = CrashTable::default();
    (0..4).for_each(|endpoint| crash(&mut table, at(0), endpoint, &[5, 666]));
    table.update(at(2_000));
    assert!(!is_refused(&table, at(2_000), 5));
    assert!(!is_refused(&table, at(2_000), 666));
    let both = [part(1), part(5), part(666)];
    assert!(table.refused(at(2_000), &both).is_some());
    table.record_sound(at(2_100), &[part(5)]);
    assert!(is_refused(&table, at(2_100), 666));
    assert!(!is_refused(&table, at(2_100), 5));
}

#[test]
fn response_that_is_newer_than_the_crashes_acquits_a_suspect() {
    let mut table = CrashTable::default();
    (0..4).for_each(|endpoint| crash(&mut table, at(0), endpoint, &[1]));
    table.update(at(2_000));
    assert!(is_refused(&table, at(2_000), 1));
    let changes = table.record_sound(at(2_100), &[part(1)]);
    assert_eq!(changes, [CrashChange::Acquitted(part(1))]);
    assert!(!is_refused(&table, at(2_100), 1));
    // Others are told, and give up the quarantine that they were told before.
    let news = table.tell(at(2_200), false, false);
    let mut other = CrashTable::default();
    (0..4).for_each(|endpoint| crash(&mut other, at(0), endpoint, &[1]));
    other.update(at(2_000));
    other.learn(at(2_200), &news);
    assert!(!is_refused(&other, at(2_200), 1));
}

#[test]
fn endpoint_that_crashes_again_and_again_does_not_convict_the_requests_that_prefer_it() {
    let mut table = CrashTable::default();
    for born in 0..4 {
        let start = start_of(0, born);
        table.record_cut(at(born), &start, &[part(1)]);
        table.end_check(at(born), &start, true);
    }
    table.update(at(2_000));
    assert!(!is_refused(&table, at(2_000), 1));
}

#[test]
fn quarantine_ends_and_one_crash_renews_it() {
    let mut table = CrashTable::default();
    (0..4).for_each(|endpoint| crash(&mut table, at(0), endpoint, &[666]));
    table.update(at(2_000));
    let (_, wait) = table.refused(at(2_000), &[part(666)]).unwrap();
    let end = at(2_000) + wait;
    assert_eq!(table.update(end), [CrashChange::Expired(vec![part(666)])]);
    assert!(!is_refused(&table, end, 666));
    crash(&mut table, end + TICK, 5, &[666]);
    table.update(end + TICK);
    assert!(is_refused(&table, end + TICK, 666));
}

#[test]
fn vm_that_joins_late_is_told_the_quarantines() {
    let mut table = CrashTable::default();
    (0..4).for_each(|endpoint| crash(&mut table, at(0), endpoint, &[666]));
    table.update(at(2_000));
    table.tell(at(2_000), false, true);
    let mut joined = CrashTable::default();
    joined.learn(at(60_000), &table.tell(at(60_000), false, true));
    assert!(is_refused(&joined, at(60_000), 666));
}

#[test]
fn memory_is_bounded() {
    let mut table = CrashTable::default();
    for n in 0..20_000 {
        crash(&mut table, at(n), n as usize % 60_000, &[n, n + 1]);
        table.record_sound(at(n), &[part(1_000_000 + n)]);
    }
    let news = table.tell(at(20_000), true, true);
    assert!(news.reports.len() + news.quarantines.len() + news.sound.len() < 100);
}

/// Copies of a status request are in flight at each endpoint that a deadly request crashes.
#[test]
fn copies_of_a_sound_request_are_not_refused_although_they_are_cut_at_each_crash() {
    let copy = |hash| Suspect::Request(RequestHash(hash));
    let mut table = CrashTable::default();
    table.record_sound(at(0), &[copy(1)]);
    for endpoint in 0..4 {
        let start = start_of(endpoint, 1);
        assert!(table.record_cut(at(100), &start, &[copy(1)]));
        assert!(!table.record_cut(at(100), &start, &[copy(666)]));
        table.end_check(at(100), &start, true);
    }
    table.update(at(2_200));
    assert!(table.refused(at(2_200), &[copy(666)]).is_some());
    assert!(table.refused(at(2_200), &[copy(1)]).is_none());
}

/// A change of the hash would make VMs of two builds disagree.
#[test]
fn request_hash_has_the_same_value_in_all_builds() {
    let org = "acme".parse().unwrap();
    let hash = RequestHash::of("GET", "/a?b=1", Some(&org), b"body");
    assert_eq!(hash, RequestHash(11_592_359_230_702_751_271));
    assert_ne!(hash, RequestHash::of("GET", "/a?b=1", None, b"acmebody"));
}

/// Endpoints that were silent and went on counted as crashed, and what was asked of them as the cause.
#[test]
fn endpoint_that_goes_on_after_a_silence_has_not_crashed() {
    let mut table = CrashTable::default();
    for endpoint in 0..4 {
        crash(&mut table, at(1_000), endpoint, &[1]);
    }
    for endpoint in 0..4 {
        table.record_alive(at(3_000), &start_of(endpoint, 1), at(500));
    }
    table.update(at(4_000));
    assert!(!is_refused(&table, at(4_000), 1));
}

/// A response to a request that was sent after the crash says nothing: the endpoint has restarted.
#[test]
fn endpoint_that_answers_a_later_request_may_have_crashed_before() {
    let mut table = CrashTable::default();
    for endpoint in 0..4 {
        crash(&mut table, at(1_000), endpoint, &[1]);
        table.record_alive(at(3_000), &start_of(endpoint, 1), at(1_500));
    }
    table.update(at(4_000));
    assert!(is_refused(&table, at(4_000), 1));
}

/// Hubs repeated the crash of an endpoint that had gone on meanwhile.
#[test]
fn crash_that_others_still_tell_of_is_not_believed_once_the_endpoint_goes_on() {
    let (mut table, mut other) = (CrashTable::default(), CrashTable::default());
    for endpoint in 0..4 {
        crash(&mut table, at(1_000), endpoint, &[1]);
    }
    other.learn(at(1_100), &table.tell(at(1_100), false, false));
    for endpoint in 0..4 {
        table.record_alive(at(2_000), &start_of(endpoint, 1), at(500));
    }
    table.learn(at(2_100), &other.tell(at(2_100), true, false));
    table.update(at(4_000));
    assert!(!is_refused(&table, at(4_000), 1));
}
