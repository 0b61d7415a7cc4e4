//! Claims folded from the log. Every reader of the same records has the same claims.

use {
    super::{Answer, ClaimKey, ClaimOp, Print},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    types::RequestId,
};

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Held,
    Done(Option<Answer>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Claim {
    request: RequestId,
    print: Print,
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
pub enum Found {
    /// No request claims it.
    Free,
    /// This request holds it and has not been answered, as far as the log tells.
    Held(RequestId),
    /// This request was answered so.
    Done(RequestId, Option<Answer>),
    /// The key belongs to a request that asked for something else.
    Mismatch,
}

/// Claims by key.
#[derive(Debug, Clone)]
pub struct Claims {
    hold: Duration,
    claims: BTreeMap<ClaimKey, Claim>,
    /// Requests that gave up; a claim of theirs that arrives late has no effect.
    voided: BTreeSet<RequestId>,
    aging: VecDeque<(u64, Aging)>,
    newest_ms: u64,
}

impl Claims {
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

    /// What is known of `key` for a request with `print`.
    pub fn find(&self, key: ClaimKey, print: Print) -> Found {
        let Some(claim) = self.claims.get(&key) else {
            return Found::Free;
        };
        if claim.print != print {
            return Found::Mismatch;
        }
        match &claim.state {
            State::Held => Found::Held(claim.request),
            State::Done(answer) => Found::Done(claim.request, answer.clone()),
        }
    }

    /// Whether `request` is the one that may be executed for `key`.
    pub fn is_holder(&self, key: ClaimKey, request: RequestId) -> bool {
        self.claims.get(&key).is_some_and(|c| c.request == request)
    }

    /// Folds one step of a record that the log took at `at_ms`.
    pub fn fold(&mut self, at_ms: u64, op: ClaimOp) {
        self.newest_ms = self.newest_ms.max(at_ms);
        self.forget_old();
        match op {
            ClaimOp::Claim {
                key,
                print,
                request,
            } => self.claim(key, print, request),
            ClaimOp::Done {
                key,
                request,
                answer,
            } => {
                if let Some(claim) = self.holder(key, request)
                    && claim.state == State::Held
                {
                    claim.state = State::Done(answer);
                }
            }
            ClaimOp::Free { key, request } => self.free(key, request),
        }
    }

    fn claim(&mut self, key: ClaimKey, print: Print, request: RequestId) {
        if self.claims.contains_key(&key) || self.voided.contains(&request) {
            return;
        }
        self.claims.insert(
            key,
            Claim {
                request,
                print,
                state: State::Held,
            },
        );
        self.aging
            .push_back((self.newest_ms, Aging::Claim(key, request)));
    }

    fn free(&mut self, key: ClaimKey, request: RequestId) {
        let done = self.holder(key, request).map(|c| c.state != State::Held);
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
                    if self.is_holder(key, request) {
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
