//! The table of claims, built from the log. All readers of the same records have the same table.

use {
    super::{ClaimKey, ClaimOp, Fingerprint, StoredResponse},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    types::RequestId,
};

#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    Pending,
    Completed(Option<StoredResponse>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Claim {
    request: RequestId,
    /// `None` if the operation that claimed the key doesn't tell it.
    fingerprint: Option<Fingerprint>,
    progress: Progress,
}

/// An entry of the expiry queue.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Expiring {
    Claim(ClaimKey, RequestId),
    Released(RequestId),
}

/// State of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// No request has claimed the key.
    Unclaimed,
    /// This request has claimed the key, and the log holds no outcome of it yet.
    Pending(RequestId),
    /// This request was executed, with this response unless that could not be stored.
    Completed(RequestId, Option<StoredResponse>),
    /// The key is claimed by a request with another fingerprint.
    Mismatch,
}

/// Claims by key.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    retention: Duration,
    claims: BTreeMap<ClaimKey, Claim>,
    /// Requests that released their claim. A claim of theirs that arrives later has no effect.
    released: BTreeSet<RequestId>,
    expiry_queue: VecDeque<(u64, Expiring)>,
    newest_ms: u64,
}

impl ClaimTable {
    /// Creates an empty table that keeps each claim for `retention`, measured by the times of the
    /// log's records.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            claims: BTreeMap::new(),
            released: BTreeSet::new(),
            expiry_queue: VecDeque::new(),
            newest_ms: 0,
        }
    }

    /// Number of claims and released requests in the table.
    pub fn len(&self) -> usize {
        self.claims.len() + self.released.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// State of `key` as seen by a request with `fingerprint`.
    pub fn lookup(&self, key: ClaimKey, fingerprint: Fingerprint) -> ClaimState {
        let Some(claim) = self.claims.get(&key) else {
            return ClaimState::Unclaimed;
        };
        match claim.fingerprint {
            Some(known) if known != fingerprint => return ClaimState::Mismatch,
            // Its response may be that of another request.
            None => return ClaimState::Pending(claim.request),
            Some(_) => {}
        }
        match &claim.progress {
            Progress::Pending => ClaimState::Pending(claim.request),
            Progress::Completed(response) => ClaimState::Completed(claim.request, response.clone()),
        }
    }

    /// Whether `request` is the one that may be executed for `key`.
    pub fn is_held_by(&self, key: ClaimKey, request: RequestId) -> bool {
        self.claims.get(&key).is_some_and(|c| c.request == request)
    }

    /// Applies an operation of a record that was appended to the log at `at_ms`, Unix time in
    /// milliseconds.
    pub fn fold(&mut self, at_ms: u64, op: ClaimOp) {
        self.advance(at_ms);
        match op {
            ClaimOp::Claim {
                key,
                print,
                request,
            } => self.claim(key, Some(print), request),
            ClaimOp::Complete {
                key,
                request,
                answer,
            } => {
                if let Some(claim) = self.claim_of(key, request)
                    && claim.progress == Progress::Pending
                {
                    claim.progress = Progress::Completed(answer);
                }
            }
            ClaimOp::Release { key, request } => self.release(key, request),
        }
    }

    /// Applies an operation of an unknown kind. Its request may be executed, so that no other one may.
    pub fn fold_unknown(&mut self, at_ms: u64, key: ClaimKey, request: RequestId) {
        self.advance(at_ms);
        self.claim(key, None, request);
    }

    fn advance(&mut self, at_ms: u64) {
        self.newest_ms = self.newest_ms.max(at_ms);
        self.expire_old();
    }

    fn claim(&mut self, key: ClaimKey, fingerprint: Option<Fingerprint>, request: RequestId) {
        if self.claims.contains_key(&key) || self.released.contains(&request) {
            return;
        }
        self.claims.insert(
            key,
            Claim {
                request,
                fingerprint,
                progress: Progress::Pending,
            },
        );
        self.expiry_queue
            .push_back((self.newest_ms, Expiring::Claim(key, request)));
    }

    fn release(&mut self, key: ClaimKey, request: RequestId) {
        let completed = self
            .claim_of(key, request)
            .map(|c| c.progress != Progress::Pending);
        match completed {
            Some(true) => return,
            Some(false) => {
                self.claims.remove(&key);
            }
            None => {}
        }
        if self.released.insert(request) {
            self.expiry_queue
                .push_back((self.newest_ms, Expiring::Released(request)));
        }
    }

    fn claim_of(&mut self, key: ClaimKey, request: RequestId) -> Option<&mut Claim> {
        self.claims.get_mut(&key).filter(|c| c.request == request)
    }

    fn expire_old(&mut self) {
        let retention_ms = u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX);
        while let Some((at_ms, _)) = self.expiry_queue.front() {
            if self.newest_ms.saturating_sub(*at_ms) <= retention_ms {
                return;
            }
            match self.expiry_queue.pop_front() {
                Some((_, Expiring::Claim(key, request))) => {
                    if self.is_held_by(key, request) {
                        self.claims.remove(&key);
                    }
                }
                Some((_, Expiring::Released(request))) => {
                    self.released.remove(&request);
                }
                None => return,
            }
        }
    }
}
