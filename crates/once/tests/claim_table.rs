//! Properties of the claim table, under arbitrary order, repetition and delay of operations.

use {
    once::{ClaimKey, ClaimOp, ClaimState, ClaimTable, Fingerprint, StoredResponse},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
    types::RequestId,
};

const RETENTION: Duration = Duration::from_secs(3600);
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

/// Each request has one key, as in production.
fn key_of(request: u8) -> ClaimKey {
    key(request % REQUESTS)
}

#[derive(Debug, Clone, Copy)]
struct ArbitraryOp {
    kind: u8,
    request: u8,
}

impl Arbitrary for ArbitraryOp {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 3,
            request: u8::arbitrary(g) % REQUESTS,
        }
    }
}

fn claim_op(op: ArbitraryOp) -> ClaimOp {
    let (key, request) = (key_of(op.request), request(op.request));
    match op.kind {
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

fn check_property(holds: fn(Vec<ArbitraryOp>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(2_000)
        .quickcheck(holds);
}

/// A request that released its claim never holds the key again, even if operations of it arrive
/// later.
#[test]
fn a_released_request_never_holds_its_key_again() {
    fn holds(ops: Vec<ArbitraryOp>) -> bool {
        let mut claims = ClaimTable::new(RETENTION);
        let mut released = BTreeMap::new();
        for op in ops {
            let was_completed = matches!(
                claims.lookup(key_of(op.request), fingerprint()),
                ClaimState::Completed(r, _) if r == request(op.request)
            );
            claims.fold(0, claim_op(op));
            if op.kind == 2 && !was_completed {
                released.insert(op.request, ());
            }
            if released
                .keys()
                .any(|r| claims.is_held_by(key_of(*r), request(*r)))
            {
                return false;
            }
        }
        true
    }
    check_property(holds);
}

/// Once a request has completed, its key's holder and response never change.
#[test]
fn a_completed_request_is_final() {
    fn holds(ops: Vec<ArbitraryOp>) -> bool {
        let mut claims = ClaimTable::new(RETENTION);
        let mut completed: BTreeMap<ClaimKey, ClaimState> = BTreeMap::new();
        for op in ops {
            claims.fold(0, claim_op(op));
            let key = key_of(op.request);
            let state = claims.lookup(key, fingerprint());
            match completed.get(&key) {
                Some(last) if *last != state => return false,
                Some(_) => {}
                None => {
                    if matches!(state, ClaimState::Completed(..)) {
                        completed.insert(key, state);
                    }
                }
            }
        }
        true
    }
    check_property(holds);
}

/// Applying each operation twice in a row has the same effect as applying it once.
#[test]
fn repeated_operations_have_no_effect() {
    fn holds(ops: Vec<ArbitraryOp>) -> bool {
        let (mut once, mut twice) = (ClaimTable::new(RETENTION), ClaimTable::new(RETENTION));
        for op in ops {
            once.fold(0, claim_op(op));
            twice.fold(0, claim_op(op));
            twice.fold(0, claim_op(op));
        }
        (0..KEYS).all(|k| once.lookup(key(k), fingerprint()) == twice.lookup(key(k), fingerprint()))
    }
    check_property(holds);
}

#[test]
fn another_request_under_the_same_key_is_a_mismatch() {
    let mut claims = ClaimTable::new(RETENTION);
    claims.fold(
        0,
        claim_op(ArbitraryOp {
            kind: 0,
            request: 0,
        }),
    );
    let other = Fingerprint::new("POST", "/permits/renewal", b"boiler 8");
    assert_eq!(claims.lookup(key(0), other), ClaimState::Mismatch);
}

#[test]
fn claims_expire_after_the_retention_time() {
    let mut claims = ClaimTable::new(RETENTION);
    claims.fold(
        0,
        claim_op(ArbitraryOp {
            kind: 0,
            request: 0,
        }),
    );
    let later = u64::try_from(RETENTION.as_millis()).unwrap() + 1;
    claims.fold(
        later,
        claim_op(ArbitraryOp {
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
