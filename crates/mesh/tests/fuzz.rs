//! Random, truncated and mutated messages between VMs must cause no panic, and must not stop the
//! node from handling valid ones.

use {
    clock::SystemClock,
    mesh::{
        AdoptMsg, Authenticator, ConfigRecord, Delta, DemandLine, DemandReport, EncodedMsg,
        Headroom, LinkBatch, LinkMsg, LinkResponse, MeshNode, ProgressMsg, Summary, SyncRequest,
        SyncResponse,
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

/// How a valid message is corrupted.
#[derive(Debug, Clone)]
enum Corruption {
    Random(Vec<u8>),
    Truncated(usize),
    Mutated(Vec<(usize, u8)>),
}

impl Arbitrary for Corruption {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 => Self::Random(Vec::arbitrary(g)),
            1 => Self::Truncated(usize::arbitrary(g)),
            _ => {
                let edits = usize::arbitrary(g) % 4 + 1;
                Self::Mutated((0..edits).map(|_| Arbitrary::arbitrary(g)).collect())
            }
        }
    }
}

impl Corruption {
    fn bytes(&self, valid: &[u8]) -> Vec<u8> {
        let mut bytes = valid.to_vec();
        match self {
            Self::Random(random) => return random.clone(),
            Self::Truncated(at) => bytes.truncate(at % valid.len()),
            Self::Mutated(edits) => {
                for (at, byte) in edits {
                    bytes[at % valid.len()] = *byte;
                }
            }
        }
        bytes
    }
}

fn vm() -> VmId {
    "vm-calicut-1".parse().unwrap()
}

fn node() -> Arc<MeshNode> {
    let clock = SystemClock::shared();
    let auth = Authenticator::new(vec!["only-for-this-test".into()]);
    let client = Client::new(clock.clone());
    MeshNode::new(vm(), Incarnation(1), auth, client, clock)
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
    let refusal =
        Refusal::not_run(Reason::Overloaded, "full").with_retry_after(Duration::from_secs(1));
    let endpoint = || "engine-1".parse().unwrap();
    vec![
        LinkMsg::Cancel(1),
        LinkMsg::Grant(1, endpoint(), "127.0.0.1:1".parse().unwrap()),
        LinkMsg::Refuse(1, refusal),
        LinkMsg::Moved(1),
        LinkMsg::Progress(ProgressMsg {
            ticket: 1,
            first_token: Some(Duration::from_millis(3)),
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
    let encoded = |m: &LinkMsg| EncodedMsg(to_msgpack(m).unwrap());
    LinkBatch {
        from: "vm-calicut-2".parse().unwrap(),
        incarnation: Incarnation(1),
        msgs: link_msgs().iter().map(encoded).collect(),
    }
}

fn check(property: fn(Corruption, u8) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property);
}

#[test]
fn node_answers_after_corrupt_sync_requests() {
    fn holds(corruption: Corruption, _: u8) -> bool {
        let node = node();
        let valid = to_msgpack(&sync_request()).unwrap();
        let _ = node.handle_sync_bytes(&corruption.bytes(&valid));
        let response = node.handle_sync_bytes(&valid).expect("a response");
        from_msgpack::<SyncResponse>(&response).is_ok()
    }
    check(holds);
}

#[test]
fn node_decodes_batches_after_corrupt_ones() {
    fn holds(corruption: Corruption, _: u8) -> bool {
        let node = node();
        let valid = batch();
        if let Ok(corrupt) =
            from_msgpack::<LinkBatch>(&corruption.bytes(&to_msgpack(&valid).unwrap()))
        {
            let _ = node.accept_batch(&corrupt);
        }
        let all = node.accept_batch(&LinkBatch {
            incarnation: Incarnation(u64::MAX),
            ..valid
        });
        all.is_some_and(|msgs| msgs.len() == link_msgs().len())
    }
    check(holds);
}

/// A message that cannot be decoded must not discard the rest of its batch.
#[test]
fn undecodable_message_is_skipped() {
    fn holds(corruption: Corruption, which: u8) -> bool {
        let mut batch = batch();
        let at = usize::from(which) % batch.msgs.len();
        batch.msgs[at].0 = corruption.bytes(&batch.msgs[at].0);
        let decoded = node().accept_batch(&batch).expect("a batch");
        decoded.len() + 1 >= batch.msgs.len()
    }
    check(holds);
}

#[test]
fn corrupt_responses_cause_no_panic() {
    fn holds(corruption: Corruption, _: u8) -> bool {
        let sync = to_msgpack(&SyncResponse {
            from: vm(),
            incarnation: Incarnation(1),
            have: summary(),
            delta: delta(),
            contact: Some(Duration::from_secs(3)),
            headroom: headroom(),
        });
        if let Ok(response) = from_msgpack::<SyncResponse>(&corruption.bytes(&sync.unwrap())) {
            node().apply(response.delta);
        }
        let link = to_msgpack(&node().link_response(1, headroom())).unwrap();
        let _ = from_msgpack::<LinkResponse>(&corruption.bytes(&link));
        let demand = to_msgpack(&DemandReport {
            lines: vec![DemandLine {
                serves: "m".parse().unwrap(),
                waiting: 1,
                running: 2,
            }],
        });
        let _ = from_msgpack::<DemandReport>(&corruption.bytes(&demand.unwrap()));
        true
    }
    check(holds);
}
