//! Properties of the configuration's fold, over arbitrary records of several operators.

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

/// One record, by what an operator wanted.
#[derive(Debug, Clone)]
enum Want {
    /// Sets an organisation's weight on the version seen, or on an older one.
    Weight(u8, u32, bool),
    Remove(u8),
    RemoveKey(u8),
    /// Gives or withdraws a key of an organisation.
    Key(u8, bool),
    Class(u8),
    /// Appends the record at this place once more.
    Again(usize),
    /// A record that is cut or changed in one byte.
    Broken(usize, u8),
}

impl Arbitrary for Want {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = u8::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Weight(name, u32::arbitrary(g), bool::arbitrary(g)),
            3 => Self::Remove(name),
            4 => Self::RemoveKey(name),
            5 | 6 => Self::Key(name, bool::arbitrary(g)),
            7 => Self::Class(name),
            8 => Self::Again(usize::arbitrary(g)),
            _ => Self::Broken(usize::arbitrary(g), u8::arbitrary(g)),
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

/// The log's records, each made against the configuration of its time.
fn records(wants: &[Want]) -> Vec<String> {
    let mut config = Config::default();
    let mut log: Vec<String> = Vec::new();
    for (i, want) in wants.iter().enumerate() {
        let put = |item: Item, stale: bool| {
            let seen = config.get(&item.key()).map(|e| e.version);
            let base = seen.filter(|_| !stale).unwrap_or_default();
            Op::Put { base, item }
        };
        let op = match want {
            Want::Weight(n, weight, stale) => put(org(*n, *weight), *stale),
            Want::Key(n, withdrawn) => put(key(*n, *withdrawn), false),
            Want::Class(n) => put(class(*n), false),
            Want::Remove(n) => remove(&config, org(*n, 1).key()),
            Want::RemoveKey(n) => remove(&config, key(*n, false).key()),
            Want::Again(at) if !log.is_empty() => {
                log.push(log[at % log.len()].clone());
                config.fold(i as u64, &log[i]);
                continue;
            }
            Want::Broken(at, byte) if !log.is_empty() => {
                let mut bytes = log[at % log.len()].clone().into_bytes();
                let place = at % bytes.len().max(1);
                if let Some(b) = bytes.get_mut(place) {
                    *b = *byte;
                }
                log.push(String::from_utf8_lossy(&bytes).into_owned());
                config.fold(i as u64, &log[i]);
                continue;
            }
            Want::Again(_) | Want::Broken(..) => put(class(0), false),
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

fn fold(log: &[String]) -> Config {
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
fn every_node_folds_the_same_records_to_the_same_configuration() {
    fn holds(wants: Vec<Want>) -> bool {
        let log = records(&wants);
        let (one, other) = (fold(&log), fold(&log));
        one == other && one.digest() == other.digest()
    }
    check(holds as fn(Vec<Want>) -> bool);
}

/// A node may take a snapshot at any place and go on from there.
#[test]
fn a_snapshot_and_the_rest_give_the_whole() {
    fn holds(wants: Vec<Want>, cut: usize) -> bool {
        let log = records(&wants);
        let cut = cut % (log.len() + 1);
        let snapshot = serde_json::to_string(&fold(&log[..cut])).unwrap();
        let mut config: Config = serde_json::from_str(&snapshot).unwrap();
        for (i, record) in log.iter().enumerate().skip(cut) {
            config.fold(i as u64, record);
        }
        config == fold(&log)
    }
    check(holds as fn(Vec<Want>, usize) -> bool);
}

/// The version grows with each record, and a record that was folded before has no effect.
#[test]
fn the_fold_never_goes_back() {
    fn holds(wants: Vec<Want>, again: Vec<usize>) -> bool {
        let log = records(&wants);
        let mut config = Config::default();
        for (i, record) in log.iter().enumerate() {
            let before = config.version();
            config.fold(i as u64, record);
            let after = config.clone();
            if config.version() <= before {
                return false;
            }
            for old in &again {
                let old = old % (i + 1);
                if config.fold(old as u64, &log[old]).is_some() || config != after {
                    return false;
                }
            }
        }
        true
    }
    check(holds as fn(Vec<Want>, Vec<usize>) -> bool);
}

/// Of changes to an item that are based on the same version, at most one is accepted; and the first is
/// accepted unless it is refused for a reason of its own.
#[test]
fn of_two_racing_changes_exactly_one_is_accepted() {
    fn holds(wants: Vec<Want>, weights: (u32, u32), n: u8) -> bool {
        let log = records(&wants);
        let mut config = fold(&log);
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
        let held = config.get(&key).map(|e| e.item.clone());
        accepted == 1 && held == Some(org(n, weights.0.max(1)))
    }
    check(holds as fn(Vec<Want>, (u32, u32), u8) -> bool);
}

/// In any log, each version of an item is the base of at most one accepted change.
#[test]
fn no_two_accepted_changes_have_the_same_base() {
    fn holds(wants: Vec<Want>) -> bool {
        let mut config = Config::default();
        let mut used: BTreeMap<(ItemKey, Version), usize> = BTreeMap::new();
        for (i, record) in records(&wants).iter().enumerate() {
            let outcome = config.fold(i as u64, record);
            if let (Some(ChangeOutcome::Accepted(_)), Ok(change)) =
                (outcome, serde_json::from_str::<Change>(record))
            {
                for op in &change.ops {
                    // A removed item has no version, so that it may be put again on none.
                    if op.base() > Version(0) {
                        *used.entry((op.key(), op.base())).or_default() += 1;
                    }
                }
            }
        }
        used.values().all(|n| *n == 1)
    }
    check(holds as fn(Vec<Want>) -> bool);
}

#[test]
fn a_withdrawn_key_is_never_given_again() {
    fn holds(wants: Vec<Want>) -> bool {
        let mut config = Config::default();
        let mut withdrawn = [false; NAMES.len()];
        for (i, record) in records(&wants).iter().enumerate() {
            config.fold(i as u64, record);
            for (n, was) in withdrawn.iter_mut().enumerate() {
                let digest = KeyDigest::of_key(NAMES[n].as_bytes());
                let key = config.key(&digest);
                if *was && key.is_some_and(|k| !k.withdrawn) {
                    return false;
                }
                *was |= key.is_some_and(|k| k.withdrawn);
            }
        }
        true
    }
    check(holds as fn(Vec<Want>) -> bool);
}
