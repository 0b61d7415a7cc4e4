//! Messages between VMs that are random, cut or mutated: no panic, and the node serves on.

use {
    clock::SystemClock,
    mesh::{
        AdoptMsg, Authenticator, ConfigRecord, Delta, DemandAnswer, DemandLine, EncodedMsg,
        Headroom, LinkAnswer, LinkBatch, LinkMsg, Node, ProgressMsg, Summary, SyncAnswer,
        SyncRequest,
    },
    ports::{VmList, ZoneEndpoints},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    route::RequestOutcome,
    std::{sync::Arc, time::Duration},
    types::{Incarnation, KeyDigest, Reason, Refusal, Tokens, Version, VmId},
    wire::{Client, from_msgpack, to_msgpack},
};

const SEED: u64 = 7;
const CASES: u64 = 20_000;
const GEN_SIZE: usize = 60;

/// What is done to a good message.
#[derive(Debug, Clone)]
enum Bad {
    Random(Vec<u8>),
    Cut(usize),
    Mutated(Vec<(usize, u8)>),
}

impl Arbitrary for Bad {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 => Self::Random(Vec::arbitrary(g)),
            1 => Self::Cut(usize::arbitrary(g)),
            _ => {
                let edits = usize::arbitrary(g) % 4 + 1;
                Self::Mutated((0..edits).map(|_| Arbitrary::arbitrary(g)).collect())
            }
        }
    }
}

impl Bad {
    fn bytes(&self, good: &[u8]) -> Vec<u8> {
        let mut bytes = good.to_vec();
        match self {
            Self::Random(random) => return random.clone(),
            Self::Cut(at) => bytes.truncate(at % good.len()),
            Self::Mutated(edits) => {
                for (at, byte) in edits {
                    bytes[at % good.len()] = *byte;
                }
            }
        }
        bytes
    }
}

fn vm() -> VmId {
    "vm-calicut-1".parse().unwrap()
}

fn node() -> Arc<Node> {
    let clock = SystemClock::shared();
    let auth = Authenticator::new(vec!["only-for-this-test".into()]);
    let client = Client::new(clock.clone());
    Node::new(vm(), Incarnation(1), auth, client, clock)
}

fn summary() -> Summary {
    Summary {
        config: Version(3),
        vms: 2,
        zones: [("calicut".parse().unwrap(), 4)].into(),
        revoked: 1,
        revoked_mix: 99,
    }
}

fn delta() -> Delta {
    Delta {
        records: vec![ConfigRecord {
            offset: 0,
            data: "{}".into(),
        }],
        vms: Some(VmList::default()),
        zones: vec![ZoneEndpoints {
            zone: "calicut".parse().unwrap(),
            revision: 4,
            endpoints: Vec::new(),
        }],
        revoked: vec![KeyDigest::of_key(b"k")],
        ..Delta::default()
    }
}

fn headroom() -> Vec<Headroom> {
    vec![Headroom {
        zone: "a".parse().unwrap(),
        serves: "m".parse().unwrap(),
        free: 3,
        waiting: 1,
        age: Duration::from_millis(250),
    }]
}

fn sync_request() -> SyncRequest {
    SyncRequest {
        from: vm(),
        incarnation: Incarnation(1),
        have: summary(),
        delta: delta(),
        contact: Some(Duration::from_secs(3)),
        headroom: headroom(),
    }
}

fn link_msgs() -> Vec<LinkMsg> {
    let refusal = Refusal::not_run(Reason::Overloaded, "full").retry_in(Duration::from_secs(1));
    let endpoint = || "engine-1".parse().unwrap();
    vec![
        LinkMsg::Cancel(1),
        LinkMsg::Grant(1, endpoint(), "127.0.0.1:1".parse().unwrap()),
        LinkMsg::Refuse(1, refusal),
        LinkMsg::Moved(1),
        LinkMsg::Progress(ProgressMsg {
            ticket: 1,
            first: Some(Duration::from_millis(3)),
            tokens: Tokens(5),
            span: Duration::from_millis(9),
        }),
        LinkMsg::Done(1, RequestOutcome::Completed),
        LinkMsg::Held(vec![1, 2]),
        LinkMsg::Unknown(vec![3]),
        LinkMsg::Adopt(AdoptMsg {
            ticket: 1,
            serves: "m".parse().unwrap(),
            endpoint: endpoint(),
            org: "o".parse().unwrap(),
            weight: 1,
            class: "c".parse().unwrap(),
        }),
    ]
}

fn batch() -> LinkBatch {
    let packed = |m: &LinkMsg| EncodedMsg(to_msgpack(m).unwrap());
    LinkBatch {
        from: "vm-calicut-2".parse().unwrap(),
        incarnation: Incarnation(1),
        msgs: link_msgs().iter().map(packed).collect(),
    }
}

fn check(property: fn(Bad, u8) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property);
}

#[test]
fn a_node_survives_any_exchange() {
    fn holds(bad: Bad, _: u8) -> bool {
        let node = node();
        let good = to_msgpack(&sync_request()).unwrap();
        let _ = node.answer_sync_bytes(&bad.bytes(&good));
        let answer = node.answer_sync_bytes(&good).expect("an answer");
        from_msgpack::<SyncAnswer>(&answer).is_ok()
    }
    check(holds);
}

#[test]
fn a_node_survives_any_batch() {
    fn holds(bad: Bad, _: u8) -> bool {
        let node = node();
        let good = batch();
        if let Ok(changed) = from_msgpack::<LinkBatch>(&bad.bytes(&to_msgpack(&good).unwrap())) {
            let _ = node.accept_batch(&changed);
        }
        let all = node.accept_batch(&LinkBatch {
            incarnation: Incarnation(u64::MAX),
            ..good
        });
        all.is_some_and(|msgs| msgs.len() == link_msgs().len())
    }
    check(holds);
}

/// One message of a batch that is not understood does not cost the others.
#[test]
fn a_batch_skips_what_it_does_not_understand() {
    fn holds(bad: Bad, which: u8) -> bool {
        let mut batch = batch();
        let at = usize::from(which) % batch.msgs.len();
        batch.msgs[at].0 = bad.bytes(&batch.msgs[at].0);
        let opened = node().accept_batch(&batch).expect("a batch");
        opened.len() + 1 >= batch.msgs.len()
    }
    check(holds);
}

#[test]
fn any_answer_is_decoded_or_refused() {
    fn holds(bad: Bad, _: u8) -> bool {
        let sync = to_msgpack(&SyncAnswer {
            from: vm(),
            incarnation: Incarnation(1),
            have: summary(),
            delta: delta(),
            contact: Some(Duration::from_secs(3)),
            headroom: headroom(),
        });
        if let Ok(answer) = from_msgpack::<SyncAnswer>(&bad.bytes(&sync.unwrap())) {
            node().apply(answer.delta);
        }
        let link = to_msgpack(&node().link_answer(1, headroom())).unwrap();
        let _ = from_msgpack::<LinkAnswer>(&bad.bytes(&link));
        let demand = to_msgpack(&DemandAnswer {
            lines: vec![DemandLine {
                serves: "m".parse().unwrap(),
                waiting: 1,
                held: 2,
            }],
        });
        let _ = from_msgpack::<DemandAnswer>(&bad.bytes(&demand.unwrap()));
        true
    }
    check(holds);
}
