//! Properties of the configuration state under arbitrary log records of several operators.

use {
    conf::{ApiKey, Change, ChangeOutcome, Class, Config, Item, ItemKey, Op, Org, Targets},
    quickcheck::{Arbitrary, Gen, QuickCheck, Testable},
    std::collections::BTreeMap,
    types::{KeyDigest, RequestId, Tier, Version},
};

const SEED: u64 = 7;
const CASES: u64 = 300;
const GEN_SIZE: usize = 40;
const NAMES: [&str; 3] = ["mill", "estate", "desk"];

/// One log record: an operator's intention, or a fault.
#[derive(Debug, Clone)]
enum Action {
    /// Sets an organisation's weight, based on the current version or on a stale one.
    Weight(u8, u32, bool),
    Remove(u8),
    RemoveKey(u8),
    /// Adds or withdraws a key of an organisation.
    Key(u8, bool),
    Class(u8),
    /// Appends an earlier record again.
    Repeat(usize),
    /// Appends an earlier record with one byte changed.
    Corrupt(usize, u8),
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = u8::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Weight(name, u32::arbitrary(g), bool::arbitrary(g)),
            3 => Self::Remove(name),
            4 => Self::RemoveKey(name),
            5 | 6 => Self::Key(name, bool::arbitrary(g)),
            7 => Self::Class(name),
            8 => Self::Repeat(usize::arbitrary(g)),
            _ => Self::Corrupt(usize::arbitrary(g), u8::arbitrary(g)),
        }
    }
}

fn name(n: u8) -> &'static str {
    NAMES[usize::from(n) % NAMES.len()]
}

fn org(n: u8, weight: u32) -> Item {
    Item::Org(Org {
        id: name(n).parse().unwrap(),
        weight,
    })
}

fn class(n: u8) -> Item {
    Item::Class(Class {
        id: name(n).parse().unwrap(),
        tier: Tier(1),
        targets: Targets {
            first_ms: 100,
            between_ms: 10,
            objective: 0.9,
        },
        queue: 10,
        starve_ms: 100,
    })
}

fn key(n: u8, withdrawn: bool) -> Item {
    Item::Key(ApiKey {
        digest: KeyDigest::of_key(name(n).as_bytes()),
        org: name(n).parse().unwrap(),
        class: NAMES[0].parse().unwrap(),
        classes: Vec::new(),
        withdrawn,
    })
}

fn remove(config: &Config, key: ItemKey) -> Op {
    let base = config.get(&key).map(|e| e.version).unwrap_or_default();
    Op::Remove { base, key }
}

/// Builds the log. Each change is based on the configuration at its time.
fn records(actions: &[Action]) -> Vec<String> {
    let mut config = Config::default();
    let mut log: Vec<String> = Vec::new();
    for (i, action) in actions.iter().enumerate() {
        let put = |item: Item, stale: bool| {
            let current_version = config.get(&item.key()).map(|e| e.version);
            let base = current_version.filter(|_| !stale).unwrap_or_default();
            Op::Put { base, item }
        };
        let op = match action {
            Action::Weight(n, weight, stale) => put(org(*n, *weight), *stale),
            Action::Key(n, withdrawn) => put(key(*n, *withdrawn), false),
            Action::Class(n) => put(class(*n), false),
            Action::Remove(n) => remove(&config, org(*n, 1).key()),
            Action::RemoveKey(n) => remove(&config, key(*n, false).key()),
            Action::Repeat(earlier) if !log.is_empty() => {
                log.push(log[earlier % log.len()].clone());
                config.fold(i as u64, &log[i]);
                continue;
            }
            Action::Corrupt(earlier, byte) if !log.is_empty() => {
                let mut bytes = log[earlier % log.len()].clone().into_bytes();
                let position = earlier % bytes.len().max(1);
                if let Some(b) = bytes.get_mut(position) {
                    *b = *byte;
                }
                log.push(String::from_utf8_lossy(&bytes).into_owned());
                config.fold(i as u64, &log[i]);
                continue;
            }
            Action::Repeat(_) | Action::Corrupt(..) => put(class(0), false),
        };
        let change = Change {
            id: RequestId::from_bits(i as u128 + 1),
            by: "operator".parse().unwrap(),
            ops: vec![op],
        };
        log.push(serde_json::to_string(&change).unwrap());
        config.fold(i as u64, &log[i]);
    }
    log
}

fn config_after(log: &[String]) -> Config {
    let mut config = Config::default();
    for (i, record) in log.iter().enumerate() {
        config.fold(i as u64, record);
    }
    config
}

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property);
}

#[test]
fn nodes_that_apply_the_same_records_have_the_same_configuration() {
    fn holds(actions: Vec<Action>) -> bool {
        let log = records(&actions);
        let (first, second) = (config_after(&log), config_after(&log));
        first == second && first.digest() == second.digest()
    }
    check(holds as fn(Vec<Action>) -> bool);
}

/// A node that starts from a snapshot at any offset and applies the remaining records reaches the
/// same state as one that applied all records.
#[test]
fn a_snapshot_and_the_remaining_records_give_the_same_configuration() {
    fn holds(actions: Vec<Action>, snapshot_at: usize) -> bool {
        let log = records(&actions);
        let snapshot_at = snapshot_at % (log.len() + 1);
        let snapshot = serde_json::to_string(&config_after(&log[..snapshot_at])).unwrap();
        let mut config: Config = serde_json::from_str(&snapshot).unwrap();
        for (i, record) in log.iter().enumerate().skip(snapshot_at) {
            config.fold(i as u64, record);
        }
        config == config_after(&log)
    }
    check(holds as fn(Vec<Action>, usize) -> bool);
}

/// Each record increases the version, and a record that was applied before has no effect.
#[test]
fn applied_records_have_no_effect_again() {
    fn holds(actions: Vec<Action>, repeats: Vec<usize>) -> bool {
        let log = records(&actions);
        let mut config = Config::default();
        for (i, record) in log.iter().enumerate() {
            let before = config.version();
            config.fold(i as u64, record);
            let after = config.clone();
            if config.version() <= before {
                return false;
            }
            for old in &repeats {
                let old = old % (i + 1);
                if config.fold(old as u64, &log[old]).is_some() || config != after {
                    return false;
                }
            }
        }
        true
    }
    check(holds as fn(Vec<Action>, Vec<usize>) -> bool);
}

/// Of two valid changes of an item that are based on the same version, the first is accepted and
/// the second is rejected.
#[test]
fn only_the_first_of_two_concurrent_changes_is_accepted() {
    fn holds(actions: Vec<Action>, weights: (u32, u32), n: u8) -> bool {
        let log = records(&actions);
        let mut config = config_after(&log);
        let key = org(n, 1).key();
        let base = config.get(&key).map(|e| e.version).unwrap_or_default();
        let mut accepted = 0;
        for (i, weight) in [weights.0.max(1), weights.1.max(1)].into_iter().enumerate() {
            let change = Change {
                id: RequestId::from_bits(u128::MAX - i as u128),
                by: "operator".parse().unwrap(),
                ops: vec![Op::Put {
                    base,
                    item: org(n, weight),
                }],
            };
            let record = serde_json::to_string(&change).unwrap();
            let outcome = config.fold((log.len() + i) as u64, &record);
            accepted += usize::from(matches!(outcome, Some(ChangeOutcome::Accepted(_))));
        }
        let current = config.get(&key).map(|e| e.item.clone());
        accepted == 1 && current == Some(org(n, weights.0.max(1)))
    }
    check(holds as fn(Vec<Action>, (u32, u32), u8) -> bool);
}

/// In any log, at most one accepted change is based on each version of an item.
#[test]
fn accepted_changes_have_different_bases() {
    fn holds(actions: Vec<Action>) -> bool {
        let mut config = Config::default();
        let mut accepted_on: BTreeMap<(ItemKey, Version), usize> = BTreeMap::new();
        for (i, record) in records(&actions).iter().enumerate() {
            let outcome = config.fold(i as u64, record);
            if let (Some(ChangeOutcome::Accepted(_)), Ok(change)) =
                (outcome, serde_json::from_str::<Change>(record))
            {
                for op in &change.ops {
                    // A removed item has no version, so it may be added again with base 0.
                    if op.base() > Version(0) {
                        *accepted_on.entry((op.key(), op.base())).or_default() += 1;
                    }
                }
            }
        }
        accepted_on.values().all(|n| *n == 1)
    }
    check(holds as fn(Vec<Action>) -> bool);
}

#[test]
fn a_withdrawn_key_is_never_valid_again() {
    fn holds(actions: Vec<Action>) -> bool {
        let mut config = Config::default();
        let mut withdrawn = [false; NAMES.len()];
        for (i, record) in records(&actions).iter().enumerate() {
            config.fold(i as u64, record);
            for (n, was_withdrawn) in withdrawn.iter_mut().enumerate() {
                let digest = KeyDigest::of_key(NAMES[n].as_bytes());
                let key = config.key(&digest);
                if *was_withdrawn && key.is_some_and(|k| !k.withdrawn) {
                    return false;
                }
                *was_withdrawn |= key.is_some_and(|k| k.withdrawn);
            }
        }
        true
    }
    check(holds as fn(Vec<Action>) -> bool);
}
