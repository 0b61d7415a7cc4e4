//! Claims keys for this process's requests.

use {
    super::{Answer, ClaimKey, ClaimOp, Claims, Found, Print},
    async_channel::{Receiver, Sender, unbounded},
    clock::{SharedClock, Stamp, within},
    coord::{Batch, Follower},
    event_listener::Event,
    parking_lot::Mutex,
    ports::{Log, Stream},
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

/// Longest wait for a claim to be read back.
const CLAIM_LIMIT: Duration = Duration::from_secs(2);
/// Pause after a failed append.
const PAUSE: Duration = Duration::from_millis(200);
/// Time after a failed append in which claims are refused at once.
const AWAY: Duration = Duration::from_secs(1);
/// Steps of one record at most.
const MAX_STEPS: usize = 200;

/// Why a key could not be claimed. The request is not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// The log cannot be reached, or is too slow.
    LogAway,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LogAway => write!(f, "the log that claims are kept on cannot be reached"),
        }
    }
}

impl Error for ClaimError {}

/// What a claim came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// The request may be executed; [`Claimer::done`] or [`Claimer::free`] follows.
    Mine,
    /// Another request has the key.
    Taken(Found),
}

/// Claims keys on the log. Its one lock is never held across an await.
pub struct Claimer {
    log: Arc<dyn Log>,
    clock: SharedClock,
    claims: Mutex<Claims>,
    failed: Mutex<Option<Stamp>>,
    folded: Event,
    steps: Sender<ClaimOp>,
    queue: Receiver<ClaimOp>,
    /// Steps that are not on the log yet, and claims whose requests run.
    open: AtomicUsize,
}

impl Claimer {
    /// A claimer that keeps claims for `hold`. [`Claimer::follow`] and [`Claimer::write`] must run.
    pub fn new(log: Arc<dyn Log>, clock: SharedClock, hold: Duration) -> Arc<Self> {
        let (steps, queue) = unbounded();
        Arc::new(Self {
            log,
            clock,
            claims: Mutex::new(Claims::new(hold)),
            failed: Mutex::default(),
            folded: Event::new(),
            steps,
            queue,
            open: AtomicUsize::new(0),
        })
    }

    /// Claims `key` for `request`, or tells who has it.
    pub async fn claim(
        &self,
        key: ClaimKey,
        print: Print,
        request: RequestId,
    ) -> Result<Claimed, ClaimError> {
        match self.claims.lock().find(key, print) {
            Found::Free => {}
            taken => return Ok(Claimed::Taken(taken)),
        }
        if self.is_away() {
            return Err(ClaimError::LogAway);
        }
        self.push(ClaimOp::Claim {
            key,
            print,
            request,
        });
        let decided = self.decided(key, print);
        match within(&*self.clock, CLAIM_LIMIT, decided).await {
            Ok(found) if self.claims.lock().is_holder(key, request) => {
                debug_assert_ne!(found, Found::Free);
                self.open.fetch_add(1, Ordering::SeqCst);
                Ok(Claimed::Mine)
            }
            Ok(found) => Ok(Claimed::Taken(found)),
            Err(_) => {
                self.push(ClaimOp::Free { key, request });
                Err(ClaimError::LogAway)
            }
        }
    }

    async fn decided(&self, key: ClaimKey, print: Print) -> Found {
        loop {
            let folded = self.folded.listen();
            match self.claims.lock().find(key, print) {
                Found::Free => {}
                found => return found,
            }
            folded.await;
        }
    }

    /// Records the answer of a request that this claimer got the key for.
    pub fn done(&self, key: ClaimKey, request: RequestId, answer: Option<Answer>) {
        self.push(ClaimOp::Done {
            key,
            request,
            answer,
        });
        self.close(1);
    }

    /// Gives a key back whose request was not executed.
    pub fn free(&self, key: ClaimKey, request: RequestId) {
        self.push(ClaimOp::Free { key, request });
        self.close(1);
    }

    /// Leaves a key claimed whose request may have been executed.
    pub fn leave(&self) {
        self.close(1);
    }

    fn push(&self, step: ClaimOp) {
        self.open.fetch_add(1, Ordering::SeqCst);
        if self.steps.try_send(step).is_err() {
            self.close(1);
        }
    }

    fn close(&self, steps: usize) {
        self.open.fetch_sub(steps, Ordering::SeqCst);
        self.folded.notify(usize::MAX);
    }

    fn is_away(&self) -> bool {
        let now = self.clock.now();
        self.failed.lock().is_some_and(|at| now.since(at) < AWAY)
    }

    /// Resolves when no request with a claim runs and all steps are on the log.
    pub async fn idle(&self) {
        loop {
            let changed = self.folded.listen();
            if self.open.load(Ordering::SeqCst) == 0 {
                return;
            }
            changed.await;
        }
    }

    /// Folds the claim stream until it is dropped.
    pub async fn follow(self: Arc<Self>) {
        let mut follower = Follower::new(self.log.clone(), self.clock.clone(), Stream::Claims, 0);
        loop {
            match follower.next_batch().await {
                Ok(Batch::Records(records)) => {
                    let mut claims = self.claims.lock();
                    for record in records {
                        let steps: Vec<ClaimOp> =
                            serde_json::from_str(&record.data).unwrap_or_default();
                        for step in steps {
                            claims.fold(record.at_ms, step);
                        }
                    }
                    metrics::gauge!("celerystage_claims").set(claims.len() as f64);
                }
                Ok(Batch::Lost(first)) => follower.seek(first),
                Err(e) => log::warn!(error:% = e; "cannot read the claim stream"),
            }
            self.folded.notify(usize::MAX);
        }
    }

    /// Appends steps in batches, one append at a time, until it is dropped. A batch whose append failed
    /// is appended again: its steps are idempotent.
    pub async fn write(self: Arc<Self>) {
        while let Ok(first) = self.queue.recv().await {
            let mut batch = vec![first];
            loop {
                self.fill(&mut batch);
                if self.append(&batch).await {
                    break;
                }
                self.clock.sleep(PAUSE).await;
            }
            self.close(batch.len());
        }
    }

    fn fill(&self, batch: &mut Vec<ClaimOp>) {
        while batch.len() < MAX_STEPS {
            let Ok(step) = self.queue.try_recv() else {
                return;
            };
            batch.push(step);
        }
    }

    async fn append(&self, batch: &[ClaimOp]) -> bool {
        let Ok(data) = serde_json::to_string(batch) else {
            return true;
        };
        metrics::counter!("celerystage_claim_appends_total").increment(1);
        match self.log.append(Stream::Claims, &data).await {
            Ok(_) => {
                *self.failed.lock() = None;
                true
            }
            Err(e) => {
                log::warn!(error:% = e; "cannot append claims");
                *self.failed.lock() = Some(self.clock.now());
                false
            }
        }
    }
}
