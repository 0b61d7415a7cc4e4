//! What a VM knows of the origins of streams.

mod origin_common;

use {
    origin_common::{at, key, origin, record, release, service, unknown},
    origins::{Known, Origin, OriginTable},
    quickcheck::QuickCheck,
    std::time::Duration,
};

const SEED: u64 = 11;

fn take(table: &mut OriginTable, ms: u64) -> usize {
    table.take_untold(at(ms), 100, true, |_| false).len()
}

/// A known release was overwritten by that of another VM.
#[test]
fn two_releases_for_one_stream_are_unknown() {
    let mut table = OriginTable::default();
    table.record(at(0), key(1), &origin(1), at(9_000));
    table.learn(at(10), &record(1, Some(release(2)), 9_000));
    assert_eq!(table.find(at(20), &key(1)), Some(Known::Unknown));
    table.learn(at(30), &record(1, Some(release(1)), 9_000));
    assert_eq!(table.find(at(40), &key(1)), Some(Known::Unknown));
}

/// An origin that nobody knows was taken for one that this VM hasn't heard of.
#[test]
fn unknown_origin_stays_unknown_and_is_told_several_times() {
    let mut table = OriginTable::default();
    table.record(at(0), key(1), &unknown(), at(9_000));
    assert_eq!(table.find(at(20), &key(1)), Some(Known::Unknown));
    let told: Vec<_> = (0..5).map(|i| take(&mut table, i)).collect();
    assert_eq!(told, [1, 1, 1, 0, 0]);
}

/// What VMs know depended on the order of datagrams.
#[test]
fn order_and_repetition_of_words_change_nothing() {
    fn holds(words: Vec<(u8, u16)>) -> bool {
        let apply = |words: &[(u8, u16)]| {
            let mut table = OriginTable::default();
            for (word, ends) in words {
                let release = (word % 3 > 0).then(|| release(u64::from(word % 3)));
                table.learn(at(0), &record(1, release, 1 + u32::from(*ends)));
            }
            table.tell(at(0), &key(1))
        };
        let reversed: Vec<_> = words.iter().rev().copied().collect();
        let twice: Vec<_> = words.iter().chain(&reversed).copied().collect();
        apply(&words) == apply(&reversed) && apply(&words) == apply(&twice)
    }
    let rng = quickcheck::Gen::from_size_and_seed(12, SEED);
    QuickCheck::new()
        .rng(rng)
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

/// The origin of a stream that was joined ended with its first attempt.
#[test]
fn joined_stream_is_known_until_its_later_end() {
    let mut table = OriginTable::default();
    table.record(at(0), key(1), &origin(1), at(5_000));
    assert_eq!(take(&mut table, 0), 1);
    table.record(at(4_000), key(1), &origin(1), at(9_000));
    assert_eq!(take(&mut table, 4_000), 1);
    let known = Some(Known::Release(release(1)));
    assert_eq!(table.find(at(8_000), &key(1)), known);
    assert_eq!(table.find(at(9_000), &key(1)), None);
}

/// Streams that others know of were never told again, so that a new hub knew none.
#[test]
fn own_live_streams_are_told_again_and_others_not() {
    let mut table = OriginTable::default();
    table.record(at(0), key(1), &origin(1), at(9_000));
    table.record(at(0), key(2), &origin(1), at(1_000));
    table.learn(at(0), &record(3, Some(release(1)), 9_000));
    assert_eq!(take(&mut table, 0), 2);
    assert_eq!(take(&mut table, 0), 0);
    table.mark_untold(at(2_000), |s| *s == service());
    assert_eq!(take(&mut table, 2_000), 1);
}

/// Streams told again held up the news.
#[test]
fn streams_told_again_come_after_news_and_only_when_due() {
    let mut table = OriginTable::default();
    table.record(at(0), key(1), &origin(1), at(9_000));
    take(&mut table, 0);
    table.mark_untold(at(1), |_| true);
    table.record(at(2), key(2), &origin(1), at(9_000));
    let told = table.take_untold(at(2), 10, false, |_| false);
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].key, key(2));
    assert!(table.has_untold(true) && !table.has_untold(false));
    assert_eq!(table.take_untold(at(3), 10, true, |_| false).len(), 1);
}

/// A hub of the largest fleet ran out of memory.
#[test]
fn table_of_a_hub_is_bounded_and_drops_the_first_to_end() {
    let mut table = OriginTable::default();
    // 30 s at 7,000 streams a second.
    for stream in 0..210_000 {
        let now = at(stream / 7);
        let until = now + Duration::from_secs(120);
        table.record(now, key(stream), &origin(1 + stream % 2), until);
        assert!(table.len() <= 114_688);
    }
    assert_eq!(table.find(at(30_000), &key(0)), None);
    for recent in 140_000..210_000 {
        assert!(table.find(at(30_000), &key(recent)).is_some(), "{recent}");
    }
}

/// Dropping an unknown origin for lack of room let the VM guess it.
#[test]
fn unknown_origins_are_dropped_last() {
    let mut table = OriginTable::default();
    table.record(at(0), key(0), &unknown(), at(60_000));
    for stream in 1..150_000 {
        table.record(at(1), key(stream), &origin(1), at(120_000));
    }
    assert_eq!(table.find(at(2), &key(0)), Some(Known::Unknown));
}

/// Two services or organisations that use the same attempt id shared an origin.
#[test]
fn same_attempt_id_of_others_is_another_stream() {
    let attempt = "a1".parse().unwrap();
    let of = |service: &str, org: Option<&str>| {
        let org = org.map(|o| o.parse().unwrap());
        origins::StreamKey::of(&service.parse().unwrap(), org.as_ref(), &attempt)
    };
    let keys = [
        of("s1", None),
        of("s2", None),
        of("s1", Some("o1")),
        of("s1", Some("o2")),
        of("s1o", Some("1")),
    ];
    for (i, key) in keys.iter().enumerate() {
        assert!(!keys[..i].contains(key), "{i}");
    }
}

/// Records with absolute times were wrong on VMs with other clocks.
#[test]
fn ends_are_told_as_remaining_times() {
    let mut table = OriginTable::default();
    table.record(at(0), key(1), &origin(1), at(9_000));
    let told = table.tell(at(4_000), &key(1)).map(|r| r.ends_ms);
    assert_eq!(told, Some(5_000));
    assert_eq!(table.tell(at(9_000), &key(1)), None);
}

/// An origin that was over was told or learned again.
#[test]
fn ended_origins_are_forgotten() {
    let mut table = OriginTable::default();
    table.learn(at(0), &record(1, Some(release(1)), 0));
    assert!(table.is_empty());
    table.record(at(0), key(1), &origin(1), at(1_000));
    // A new stream with the same key.
    table.record(at(2_000), key(1), &origin(2), at(3_000));
    let known = Some(Known::Release(release(2)));
    assert_eq!(table.find(at(2_000), &key(1)), known);
    table.expire(at(3_000));
    assert!(table.is_empty());
    let gone = Origin {
        release: Some(release(9)),
        ..unknown()
    };
    table.record(at(4_000), key(1), &gone, at(4_000));
    assert_eq!(table.find(at(4_000), &key(1)), None);
}
