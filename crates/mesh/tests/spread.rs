//! Properties of the replicated store when deltas between VMs are reordered, lost or repeated.

use {
    conf::{Change, Item, Op, Org},
    mesh::{ConfigRecord, Delta, Store, Summary},
    ports::{VmList, ZoneEndpoints},
    quickcheck::{Arbitrary, Gen, QuickCheck, Testable},
    types::{KeyDigest, RequestId},
};

const SEED: u64 = 7;
const CASES: u64 = 200;
const GEN_SIZE: usize = 80;
const STORES: usize = 4;
const ZONES: [&str; 2] = ["ernakulam", "calicut"];

/// One step of a run. Store 0 follows the platform.
#[derive(Debug, Clone)]
enum Event {
    /// The platform appends a configuration record.
    Record(u32),
    /// The platform changes the endpoint list of an availability zone.
    Zone(u8),
    /// The platform changes the VM list.
    Vms,
    /// An operator withdraws a key at a store.
    Revoke(u8, u8),
    /// A store creates a delta for another one.
    Send(u8, u8),
    /// A delta, possibly delivered before, is applied to some store.
    Deliver(usize, u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 10 {
            0 | 1 => Self::Record(u32::arbitrary(g)),
            2 => Self::Zone(a),
            3 => Self::Vms,
            4 => Self::Revoke(a, b),
            5 | 6 => Self::Send(a, b),
            _ => Self::Deliver(usize::arbitrary(g), b),
        }
    }
}

#[derive(Default)]
struct World {
    stores: Vec<Store>,
    sent: Vec<Delta>,
    records: u64,
    revision: u64,
}

fn store_index(n: u8) -> usize {
    usize::from(n) % STORES
}

fn record(offset: u64, weight: u32) -> ConfigRecord {
    let change = Change {
        id: RequestId::from_bits(u128::from(offset) + 1),
        by: "operator".parse().unwrap(),
        ops: vec![Op::Put {
            base: types::Version(0),
            item: Item::Org(Org {
                id: format!("org-{offset}").parse().unwrap(),
                weight,
            }),
        }],
    };
    ConfigRecord {
        offset,
        data: serde_json::to_string(&change).unwrap().into(),
    }
}

impl World {
    fn new() -> Self {
        Self {
            stores: vec![Store::default(); STORES],
            ..Self::default()
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Record(weight) => {
                let records = vec![record(self.records, *weight)];
                self.records += 1;
                self.stores[0].apply(Delta {
                    records,
                    ..Delta::default()
                });
            }
            Event::Zone(n) => {
                self.revision += 1;
                let zone = ZoneEndpoints {
                    zone: ZONES[usize::from(*n) % ZONES.len()].parse().unwrap(),
                    revision: self.revision,
                    endpoints: Vec::new(),
                };
                self.stores[0].apply(Delta {
                    zones: vec![zone],
                    ..Delta::default()
                });
            }
            Event::Vms => {
                self.revision += 1;
                let list = VmList {
                    revision: self.revision,
                    vms: Vec::new(),
                };
                self.stores[0].apply(Delta {
                    vms: Some(list),
                    ..Delta::default()
                });
            }
            Event::Revoke(store, key) => {
                let revoked = vec![KeyDigest::of_key(&[*key])];
                self.stores[store_index(*store)].apply(Delta {
                    revoked,
                    ..Delta::default()
                });
            }
            Event::Send(from, to) => {
                let have = self.stores[store_index(*to)].summary();
                self.sent
                    .push(self.stores[store_index(*from)].delta_since(&have));
            }
            Event::Deliver(index, to) => {
                if let Some(delta) = self.sent.get(index % self.sent.len().max(1)) {
                    self.stores[store_index(*to)].apply(delta.clone());
                }
            }
        }
    }
}

/// Whether no part of `now` has a lower version than in `before`.
fn none_decreased(before: &Summary, now: &Summary) -> bool {
    let zones = before.zones.iter();
    now.config >= before.config
        && now.vms >= before.vms
        && now.revoked >= before.revoked
        && zones
            .clone()
            .all(|(zone, revision)| now.zones.get(zone).is_some_and(|r| r >= revision))
}

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property);
}

#[test]
fn store_versions_never_decrease() {
    fn holds(events: Vec<Event>) -> bool {
        let mut world = World::new();
        for event in &events {
            let before: Vec<_> = world.stores.iter().map(Store::summary).collect();
            world.apply(event);
            let pairs = before.iter().zip(&world.stores);
            if !pairs
                .into_iter()
                .all(|(b, s)| none_decreased(b, &s.summary()))
            {
                return false;
            }
        }
        true
    }
    check(holds as fn(Vec<Event>) -> bool);
}

#[test]
fn applying_a_delta_again_changes_nothing() {
    fn holds(events: Vec<Event>, which: usize, to: u8) -> bool {
        let mut world = World::new();
        events.iter().for_each(|e| world.apply(e));
        let Some(delta) = world.sent.get(which % world.sent.len().max(1)) else {
            return true;
        };
        let store = &mut world.stores[store_index(to)];
        store.apply(delta.clone());
        let before = store.summary();
        let changed = store.apply(delta.clone());
        !changed.any() && store.summary() == before
    }
    check(holds as fn(Vec<Event>, usize, u8) -> bool);
}

/// Two stores receive all deltas in opposite order. After one exchange with the store that follows
/// the platform, both must be equal.
#[test]
fn stores_converge_whatever_the_delivery_order() {
    fn holds(events: Vec<Event>) -> bool {
        let mut world = World::new();
        events.iter().for_each(|e| world.apply(e));
        let (mut one, mut other) = (Store::default(), Store::default());
        for delta in &world.sent {
            one.apply(delta.clone());
        }
        for delta in world.sent.iter().rev() {
            other.apply(delta.clone());
        }
        for store in [&mut one, &mut other] {
            let missing = world.stores[0].delta_since(&store.summary());
            store.apply(missing);
        }
        one.summary() == other.summary() && one.config().digest() == other.config().digest()
    }
    check(holds as fn(Vec<Event>) -> bool);
}

/// Pairwise exchanges around a ring must make all stores equal, without a store that all exchange
/// with.
#[test]
fn pairwise_exchanges_converge_all_stores() {
    fn holds(events: Vec<Event>) -> bool {
        let mut world = World::new();
        events.iter().for_each(|e| world.apply(e));
        for _ in 0..2 {
            for i in 0..STORES {
                let (a, b) = (i, (i + 1) % STORES);
                let to_b = world.stores[a].delta_since(&world.stores[b].summary());
                let to_a = world.stores[b].delta_since(&world.stores[a].summary());
                world.stores[b].apply(to_b);
                world.stores[a].apply(to_a);
            }
        }
        let first = &world.stores[0];
        world.stores.iter().all(|s| {
            s.summary() == first.summary() && s.config().digest() == first.config().digest()
        })
    }
    check(holds as fn(Vec<Event>) -> bool);
}
