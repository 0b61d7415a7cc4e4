//! Claims folded from the log. Every reader of the same records has the same claims.

use {
    super::{ClaimKey, ClaimOp, Fingerprint, StoredResponse},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    types::RequestId,
};

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Pending,
    Completed(Option<StoredResponse>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Claim {
    request: RequestId,
    fingerprint: Fingerprint,
    state: State,
}

/// Something to be forgotten when it is old enough.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Aging {
    Claim(ClaimKey, RequestId),
    Void(RequestId),
}

/// What is known of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// No request claims it.
    Unclaimed,
    /// This request holds it and has not been answered, as far as the log tells.
    Pending(RequestId),
    /// This request was answered so.
    Completed(RequestId, Option<StoredResponse>),
    /// The key belongs to a request that asked for something else.
    Mismatch,
}

/// Claims by key.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    hold: Duration,
    claims: BTreeMap<ClaimKey, Claim>,
    /// Requests that gave up; a claim of theirs that arrives late has no effect.
    voided: BTreeSet<RequestId>,
    aging: VecDeque<(u64, Aging)>,
    newest_ms: u64,
}

impl ClaimTable {
    /// No claims; each is kept for `hold`, by the times of the records.
    pub fn new(hold: Duration) -> Self {
        Self {
            hold,
            claims: BTreeMap::new(),
            voided: BTreeSet::new(),
            aging: VecDeque::new(),
            newest_ms: 0,
        }
    }

    /// Claims and voided requests that are kept.
    pub fn len(&self) -> usize {
        self.claims.len() + self.voided.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What is known of `key` for a request with `fingerprint`.
    pub fn lookup(&self, key: ClaimKey, fingerprint: Fingerprint) -> ClaimState {
        let Some(claim) = self.claims.get(&key) else {
            return ClaimState::Unclaimed;
        };
        if claim.fingerprint != fingerprint {
            return ClaimState::Mismatch;
        }
        match &claim.state {
            State::Pending => ClaimState::Pending(claim.request),
            State::Completed(response) => ClaimState::Completed(claim.request, response.clone()),
        }
    }

    /// Whether `request` is the one that may be executed for `key`.
    pub fn is_held_by(&self, key: ClaimKey, request: RequestId) -> bool {
        self.claims.get(&key).is_some_and(|c| c.request == request)
    }

    /// Folds one step of a record that the log took at `at_ms`.
    pub fn apply(&mut self, at_ms: u64, op: ClaimOp) {
        self.newest_ms = self.newest_ms.max(at_ms);
        self.forget_old();
        match op {
            ClaimOp::Claim {
                key,
                print,
                request,
            } => self.claim(key, print, request),
            ClaimOp::Complete {
                key,
                request,
                answer,
            } => {
                if let Some(claim) = self.holder(key, request)
                    && claim.state == State::Pending
                {
                    claim.state = State::Completed(answer);
                }
            }
            ClaimOp::Release { key, request } => self.free(key, request),
        }
    }

    fn claim(&mut self, key: ClaimKey, fingerprint: Fingerprint, request: RequestId) {
        if self.claims.contains_key(&key) || self.voided.contains(&request) {
            return;
        }
        self.claims.insert(
            key,
            Claim {
                request,
                fingerprint,
                state: State::Pending,
            },
        );
        self.aging
            .push_back((self.newest_ms, Aging::Claim(key, request)));
    }

    fn free(&mut self, key: ClaimKey, request: RequestId) {
        let done = self.holder(key, request).map(|c| c.state != State::Pending);
        match done {
            Some(true) => return,
            Some(false) => {
                self.claims.remove(&key);
            }
            None => {}
        }
        if self.voided.insert(request) {
            self.aging.push_back((self.newest_ms, Aging::Void(request)));
        }
    }

    fn holder(&mut self, key: ClaimKey, request: RequestId) -> Option<&mut Claim> {
        self.claims.get_mut(&key).filter(|c| c.request == request)
    }

    fn forget_old(&mut self) {
        let hold_ms = u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX);
        while let Some((at_ms, _)) = self.aging.front() {
            if self.newest_ms.saturating_sub(*at_ms) <= hold_ms {
                return;
            }
            match self.aging.pop_front() {
                Some((_, Aging::Claim(key, request))) => {
                    if self.is_held_by(key, request) {
                        self.claims.remove(&key);
                    }
                }
                Some((_, Aging::Void(request))) => {
                    self.voided.remove(&request);
                }
                None => return,
            }
        }
    }
}
