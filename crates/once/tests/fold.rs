//! Properties of the claim fold, over arbitrary interleavings, repeats and late records.

use {
    once::{ClaimKey, ClaimOp, ClaimState, ClaimTable, Fingerprint, StoredResponse},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
    types::RequestId,
};

const HOLD: Duration = Duration::from_secs(3600);
const KEYS: u8 = 3;
const REQUESTS: u8 = 6;
const GEN_SIZE: usize = 80;
const SEED: u64 = 5;

fn key(n: u8) -> ClaimKey {
    ClaimKey::new(&"rice-mill".parse().unwrap(), &format!("key-{}", n % KEYS))
}

fn fingerprint() -> Fingerprint {
    Fingerprint::new("POST", "/permits/renewal", b"boiler 7")
}

fn request(n: u8) -> RequestId {
    RequestId::from_bits(u128::from(n % REQUESTS))
}

/// Each request has one key, as in the product.
fn key_of(request: u8) -> ClaimKey {
    key(request % REQUESTS)
}

#[derive(Debug, Clone, Copy)]
struct Step {
    kind: u8,
    request: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 3,
            request: u8::arbitrary(g) % REQUESTS,
        }
    }
}

fn op(step: Step) -> ClaimOp {
    let (key, request) = (key_of(step.request), request(step.request));
    match step.kind {
        0 => ClaimOp::Claim {
            key,
            print: fingerprint(),
            request,
        },
        1 => {
            let body = request.to_string().into();
            let response = StoredResponse {
                status: 200,
                content_type: "text/plain".into(),
                body,
            };
            ClaimOp::Complete {
                key,
                request,
                answer: Some(response),
            }
        }
        _ => ClaimOp::Release { key, request },
    }
}

fn check(holds: fn(Vec<Step>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(2_000)
        .quickcheck(holds);
}

/// A request that gave its key back never becomes holder again, whatever arrives late.
#[test]
fn a_voided_request_never_holds() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut claims = ClaimTable::new(HOLD);
        let mut voided = BTreeMap::new();
        for step in steps {
            let held_done = matches!(
                claims.lookup(key_of(step.request), fingerprint()),
                ClaimState::Completed(r, _) if r == request(step.request)
            );
            claims.apply(0, op(step));
            if step.kind == 2 && !held_done {
                voided.insert(step.request, ());
            }
            if voided
                .keys()
                .any(|r| claims.is_held_by(key_of(*r), request(*r)))
            {
                return false;
            }
        }
        true
    }
    check(holds);
}

/// Once a key is answered, its holder and answer never change.
#[test]
fn an_answer_is_final() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut claims = ClaimTable::new(HOLD);
        let mut answers: BTreeMap<ClaimKey, ClaimState> = BTreeMap::new();
        for step in steps {
            claims.apply(0, op(step));
            let key = key_of(step.request);
            let found = claims.lookup(key, fingerprint());
            match answers.get(&key) {
                Some(last) if *last != found => return false,
                Some(_) => {}
                None => {
                    if matches!(found, ClaimState::Completed(..)) {
                        answers.insert(key, found);
                    }
                }
            }
        }
        true
    }
    check(holds);
}

/// Folding every record twice in a row changes nothing.
#[test]
fn repeated_records_have_no_effect() {
    fn holds(steps: Vec<Step>) -> bool {
        let (mut once, mut twice) = (ClaimTable::new(HOLD), ClaimTable::new(HOLD));
        for step in steps {
            once.apply(0, op(step));
            twice.apply(0, op(step));
            twice.apply(0, op(step));
        }
        (0..KEYS).all(|k| once.lookup(key(k), fingerprint()) == twice.lookup(key(k), fingerprint()))
    }
    check(holds);
}

#[test]
fn another_request_under_the_same_key_is_told_apart() {
    let mut claims = ClaimTable::new(HOLD);
    claims.apply(
        0,
        op(Step {
            kind: 0,
            request: 0,
        }),
    );
    let other = Fingerprint::new("POST", "/permits/renewal", b"boiler 8");
    assert_eq!(claims.lookup(key(0), other), ClaimState::Mismatch);
}

#[test]
fn claims_are_forgotten_after_their_time() {
    let mut claims = ClaimTable::new(HOLD);
    claims.apply(
        0,
        op(Step {
            kind: 0,
            request: 0,
        }),
    );
    let later = u64::try_from(HOLD.as_millis()).unwrap() + 1;
    claims.apply(
        later,
        op(Step {
            kind: 0,
            request: 1,
        }),
    );
    assert_eq!(claims.lookup(key(0), fingerprint()), ClaimState::Unclaimed);
    assert_eq!(
        claims.lookup(key(1), fingerprint()),
        ClaimState::Pending(request(1))
    );
}
