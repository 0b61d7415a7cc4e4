//! Claims idempotency keys for the requests of this process.

use {
    super::{
        ClaimKey, ClaimOp, ClaimState, ClaimTable, Fingerprint, StoredResponse,
        batch::{ClaimBatch, ReadOp},
    },
    async_channel::{Receiver, Sender, unbounded},
    clock::{Instant, SharedClock, timeout},
    coord::{Follower, ReadOutcome},
    event_listener::Event,
    parking_lot::Mutex,
    ports::{Log, Record, Stream},
    std::{
        error::Error,
        fmt,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    types::RequestId,
};

/// Longest wait for an appended claim to be read back from the log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed append is retried.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after a failed append in which claims are refused without an attempt.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(1);
/// Most operations in one log record.
const MAX_BATCH_OPS: usize = 200;

/// Why a key could not be claimed. The request must not be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// The log cannot be reached, or is too slow.
    LogUnavailable,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LogUnavailable => write!(f, "the log that claims are kept on cannot be reached"),
        }
    }
}

impl Error for ClaimError {}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request may be executed. [`Claimer::complete`], [`Claimer::release`] or
    /// [`Claimer::abandon`] must be called when it has ended.
    Granted,
    /// Another request has claimed the key.
    Taken(ClaimState),
}

/// Claims idempotency keys on the log. No lock is held across an await.
pub struct Claimer {
    log: Arc<dyn Log>,
    clock: SharedClock,
    claims: Mutex<ClaimTable>,
    last_failure: Mutex<Option<Instant>>,
    changed: Event,
    op_sender: Sender<ClaimOp>,
    op_receiver: Receiver<ClaimOp>,
    /// Number of operations that are not on the log yet, and of granted claims whose requests still
    /// run.
    unfinished: AtomicUsize,
}

impl Claimer {
    /// Creates a claimer that keeps claims for `retention`. The caller must run
    /// [`Claimer::follow_log`] and [`Claimer::write_log`] as tasks.
    pub fn new(log: Arc<dyn Log>, clock: SharedClock, retention: Duration) -> Arc<Self> {
        let (op_sender, op_receiver) = unbounded();
        Arc::new(Self {
            log,
            clock,
            claims: Mutex::new(ClaimTable::new(retention)),
            last_failure: Mutex::default(),
            changed: Event::new(),
            op_sender,
            op_receiver,
            unfinished: AtomicUsize::new(0),
        })
    }

    /// Claims `key` for `request`, or returns the state of another request's claim.
    pub async fn claim(
        &self,
        key: ClaimKey,
        fingerprint: Fingerprint,
        request: RequestId,
    ) -> Result<ClaimResult, ClaimError> {
        match self.claims.lock().lookup(key, fingerprint) {
            ClaimState::Unclaimed => {}
            taken => return Ok(ClaimResult::Taken(taken)),
        }
        if self.failed_recently() {
            return Err(ClaimError::LogUnavailable);
        }
        self.enqueue(ClaimOp::Claim {
            key,
            print: fingerprint,
            request,
        });
        let claimed = self.wait_claimed(key, fingerprint);
        match timeout(&*self.clock, CLAIM_TIMEOUT, claimed).await {
            Ok(state) if self.claims.lock().is_held_by(key, request) => {
                debug_assert_ne!(state, ClaimState::Unclaimed);
                self.unfinished.fetch_add(1, Ordering::SeqCst);
                Ok(ClaimResult::Granted)
            }
            Ok(state) => Ok(ClaimResult::Taken(state)),
            Err(_) => {
                self.enqueue(ClaimOp::Release { key, request });
                Err(ClaimError::LogUnavailable)
            }
        }
    }

    async fn wait_claimed(&self, key: ClaimKey, fingerprint: Fingerprint) -> ClaimState {
        loop {
            let changed = self.changed.listen();
            match self.claims.lock().lookup(key, fingerprint) {
                ClaimState::Unclaimed => {}
                state => return state,
            }
            changed.await;
        }
    }

    /// Records that the request was executed, with its response unless that cannot be stored.
    pub fn complete(&self, key: ClaimKey, request: RequestId, response: Option<StoredResponse>) {
        self.enqueue(ClaimOp::Complete {
            key,
            request,
            answer: response,
        });
        self.finish(1);
    }

    /// Releases the claim of a request that was not executed.
    pub fn release(&self, key: ClaimKey, request: RequestId) {
        self.enqueue(ClaimOp::Release { key, request });
        self.finish(1);
    }

    /// Ends a claim's request without an outcome. The key stays claimed, as the request may have
    /// been executed.
    pub fn abandon(&self) {
        self.finish(1);
    }

    fn enqueue(&self, op: ClaimOp) {
        self.unfinished.fetch_add(1, Ordering::SeqCst);
        if self.op_sender.try_send(op).is_err() {
            self.finish(1);
        }
    }

    fn finish(&self, count: usize) {
        self.unfinished.fetch_sub(count, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    fn failed_recently(&self) -> bool {
        let now = self.clock.now();
        self.last_failure
            .lock()
            .is_some_and(|at| now.since(at) < FAILURE_COOLDOWN)
    }

    /// Resolves when no granted claim's request is running and all operations are on the log.
    pub async fn wait_idle(&self) {
        loop {
            let changed = self.changed.listen();
            if self.unfinished.load(Ordering::SeqCst) == 0 {
                return;
            }
            changed.await;
        }
    }

    /// Applies the records of the claim stream to the table. Runs until it is dropped.
    pub async fn follow_log(self: Arc<Self>) {
        let mut follower = Follower::new(self.log.clone(), self.clock.clone(), Stream::Claims, 0);
        loop {
            match follower.read_next().await {
                Ok(ReadOutcome::Records(records)) => {
                    for record in records {
                        self.apply(&record);
                    }
                    let count = self.claims.lock().len();
                    metrics::gauge!("celerystage_claims").set(count as f64);
                }
                Ok(ReadOutcome::Lost(first)) => follower.seek(first),
                Err(e) => log::warn!(error:% = e; "cannot read the claim stream"),
            }
            self.changed.notify(usize::MAX);
        }
    }

    fn apply(&self, record: &Record) {
        let batch = ClaimBatch::decode(&record.data);
        if batch.unreadable > 0 {
            log::error!(offset = record.offset, operations = batch.unreadable; "cannot read operations on claims");
            metrics::counter!("celerystage_claim_ops_unreadable_total")
                .increment(batch.unreadable as u64);
        }
        let mut claims = self.claims.lock();
        for op in batch.ops {
            match op {
                ReadOp::Known(op) => claims.fold(record.at_ms, op),
                ReadOp::Unknown(key, request) => {
                    log::warn!(offset = record.offset, request:% = request; "unknown operation on a claim, its key counts as claimed");
                    claims.fold_unknown(record.at_ms, key, request);
                }
            }
        }
    }

    /// Appends queued operations in batches, one append at a time. Runs until it is dropped. A
    /// batch whose append failed is appended again, which is safe as its operations are idempotent.
    pub async fn write_log(self: Arc<Self>) {
        while let Ok(first) = self.op_receiver.recv().await {
            let mut batch = vec![first];
            loop {
                self.fill_batch(&mut batch);
                if self.append(&batch).await {
                    break;
                }
                self.clock.sleep(APPEND_RETRY_DELAY).await;
            }
            self.finish(batch.len());
        }
    }

    fn fill_batch(&self, batch: &mut Vec<ClaimOp>) {
        while batch.len() < MAX_BATCH_OPS {
            let Ok(op) = self.op_receiver.try_recv() else {
                return;
            };
            batch.push(op);
        }
    }

    async fn append(&self, batch: &[ClaimOp]) -> bool {
        let Ok(data) = serde_json::to_string(batch) else {
            return true;
        };
        metrics::counter!("celerystage_claim_appends_total").increment(1);
        match self.log.append(Stream::Claims, &data).await {
            Ok(_) => {
                *self.last_failure.lock() = None;
                true
            }
            Err(e) => {
                log::warn!(error:% = e; "cannot append claims");
                *self.last_failure.lock() = Some(self.clock.now());
                false
            }
        }
    }
}
