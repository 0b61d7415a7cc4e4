//! Drives contenders over the log.

use {
    super::{Contender, Holder, LeaseDecision, LeaseId, LeaseRecord, LeaseTiming},
    crate::{Batch, Follower, LeaseHandle},
    clock::{SharedClock, Stamp},
    event_listener::Event,
    futures_lite::FutureExt,
    parking_lot::Mutex,
    ports::{Log, Stream},
    std::{collections::BTreeMap, future::Future, pin::Pin, sync::Arc, time::Duration},
    types::Epoch,
};

/// Appends of a release at most.
const MAX_RELEASES: u32 = 3;
/// Longest pause after a failed read.
const MAX_PAUSE: Duration = Duration::from_secs(1);

type Driving<'a> = Pin<Box<dyn Future<Output = ()> + Send + 'a>>;

/// One lease of a process. Its lock is never held across an await.
struct Seat {
    clock: SharedClock,
    contender: Mutex<Contender>,
    /// Fencing number that was last logged. Lock order: after `contender`.
    logged: Mutex<Option<Epoch>>,
    news: Event,
}

impl LeaseHandle for Seat {
    fn epoch(&self) -> Option<Epoch> {
        let contender = self.contender.lock();
        contender.epoch(self.clock.now())
    }
}

/// Contends for the leases of one process.
pub struct LeaseManager {
    log: Arc<dyn Log>,
    clock: SharedClock,
    seats: BTreeMap<LeaseId, Arc<Seat>>,
}

impl LeaseManager {
    /// A keeper for `leases`; it does nothing until it is run.
    pub fn new(
        log: Arc<dyn Log>,
        clock: SharedClock,
        holder: &Holder,
        times: LeaseTiming,
        leases: impl IntoIterator<Item = LeaseId>,
    ) -> Self {
        let seat = |lease: LeaseId| {
            let seed = fastrand::u64(..);
            let contender = Contender::new(lease.clone(), holder.clone(), times, seed);
            let seat = Seat {
                clock: clock.clone(),
                contender: Mutex::new(contender),
                logged: Mutex::default(),
                news: Event::new(),
            };
            (lease, Arc::new(seat))
        };
        let seats = leases.into_iter().map(seat).collect();
        Self { log, clock, seats }
    }

    /// The view of one lease for those who act under it.
    pub fn handle(&self, lease: &LeaseId) -> Option<Arc<dyn LeaseHandle>> {
        let seat = self.seats.get(lease)?;
        Some(seat.clone())
    }

    /// Follows the log, claims and renews, until it is dropped.
    pub async fn run(&self) {
        let mut all: Driving<'_> = Box::pin(self.follow());
        for seat in self.seats.values() {
            all = Box::pin(all.or(self.contend(seat)));
        }
        all.await;
    }

    async fn follow(&self) {
        let follower = Follower::new(self.log.clone(), self.clock.clone(), Stream::Leases, 0);
        let mut follower = follower.with_max_backoff(MAX_PAUSE);
        loop {
            let batch = follower.next_batch().await;
            if let Ok(Batch::Lost(first)) = batch {
                follower.seek(first);
            }
            if let Err(e) = &batch {
                log::warn!(error:% = e; "cannot read the lease stream");
            }
            for seat in self.seats.values() {
                seat.take(batch.as_ref().ok());
            }
        }
    }

    async fn contend(&self, seat: &Seat) {
        loop {
            let news = seat.news.listen();
            let decision = seat.contender.lock().poll(self.clock.now());
            match decision {
                LeaseDecision::Wait(span) => news.or(self.clock.sleep(span)).await,
                LeaseDecision::Append(record) => {
                    if !self.append(&record).await {
                        seat.contender.lock().append_failed(self.clock.now());
                    }
                }
            }
        }
    }

    async fn append(&self, record: &LeaseRecord) -> bool {
        let Ok(data) = serde_json::to_string(record) else {
            return false;
        };
        let appended = self.log.append(Stream::Leases, &data).await;
        if let Err(e) = &appended {
            log::warn!(lease:% = record.lease, error:% = e; "cannot append to the lease stream");
        }
        appended.is_ok()
    }

    /// Gives all leases up at once, for a planned stop. Whoever acts under a lease must have ended its
    /// writes before.
    pub async fn release(&self) {
        for seat in self.seats.values() {
            let record = seat.contender.lock().close(self.clock.now());
            let Some(record) = record else {
                continue;
            };
            for _ in 0..MAX_RELEASES {
                if self.append(&record).await {
                    break;
                }
            }
        }
    }
}

impl Seat {
    /// Takes in what was read; `None` after a failed read.
    fn take(&self, batch: Option<&Batch>) {
        let mut contender = self.contender.lock();
        let now = self.clock.now();
        match batch {
            None => contender.read_failed(),
            Some(Batch::Lost(first)) => contender.mark_lost(now, *first),
            Some(Batch::Records(records)) => {
                for record in records {
                    if let Ok(lease) = serde_json::from_str(&record.data) {
                        contender.fold(now, record.offset, &lease);
                    }
                }
                contender.read_succeeded(now);
            }
        }
        self.log_change(&contender, now);
        drop(contender);
        self.news.notify(usize::MAX);
    }

    fn log_change(&self, contender: &Contender, now: Stamp) {
        let mut logged = self.logged.lock();
        let (before, after) = (*logged, contender.epoch(now));
        if before == after {
            return;
        }
        *logged = after;
        let lease = contender.lease();
        match after {
            Some(epoch) => log::info!(lease:% = lease, epoch = epoch.0; "lease held"),
            None => log::info!(lease:% = lease; "lease no longer held"),
        }
    }
}
