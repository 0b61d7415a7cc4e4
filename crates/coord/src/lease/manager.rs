//! Runs the contenders of a process: reads the lease stream and appends their records.

use {
    super::{Contender, Holder, LeaseDecision, LeaseId, LeaseRecord, LeaseTiming, read::LeaseRead},
    crate::{Follower, LeaseHandle, ReadOutcome},
    clock::{Instant, SharedClock},
    event_listener::Event,
    futures_lite::FutureExt,
    parking_lot::Mutex,
    ports::{Log, Stream},
    std::{collections::BTreeMap, future::Future, pin::Pin, sync::Arc, time::Duration},
    types::Epoch,
};

/// Attempts to append a release record.
const MAX_RELEASE_ATTEMPTS: u32 = 3;
/// Longest backoff after a failed read.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

type BoxedTask<'a> = Pin<Box<dyn Future<Output = ()> + Send + 'a>>;

/// One lease that this process contends for. The locks are never held across an await.
struct ManagedLease {
    clock: SharedClock,
    contender: Mutex<Contender>,
    /// Fencing token in the last log line, to log changes only. Lock order: after `contender`.
    logged_epoch: Mutex<Option<Epoch>>,
    changed: Event,
}

impl LeaseHandle for ManagedLease {
    fn epoch(&self) -> Option<Epoch> {
        let contender = self.contender.lock();
        contender.epoch(self.clock.now())
    }
}

/// Contends for the leases of one process.
pub struct LeaseManager {
    log: Arc<dyn Log>,
    clock: SharedClock,
    leases: BTreeMap<LeaseId, Arc<ManagedLease>>,
}

impl LeaseManager {
    /// Creates a manager for `leases`. It does nothing until [`LeaseManager::run`] is polled.
    pub fn new(
        log: Arc<dyn Log>,
        clock: SharedClock,
        holder: &Holder,
        timing: LeaseTiming,
        leases: impl IntoIterator<Item = LeaseId>,
    ) -> Self {
        let managed = |lease: LeaseId| {
            let seed = fastrand::u64(..);
            let contender = Contender::new(lease.clone(), holder.clone(), timing, seed);
            let managed = ManagedLease {
                clock: clock.clone(),
                contender: Mutex::new(contender),
                logged_epoch: Mutex::default(),
                changed: Event::new(),
            };
            (lease, Arc::new(managed))
        };
        let leases = leases.into_iter().map(managed).collect();
        Self { log, clock, leases }
    }

    /// Returns a view of one lease for the code that acts under it; `None` for a lease that is not
    /// managed.
    pub fn handle(&self, lease: &LeaseId) -> Option<Arc<dyn LeaseHandle>> {
        let managed = self.leases.get(lease)?;
        Some(managed.clone())
    }

    /// Follows the lease stream, claims and renews leases. Runs until it is dropped.
    pub async fn run(&self) {
        let mut tasks: BoxedTask<'_> = Box::pin(self.follow());
        for managed in self.leases.values() {
            tasks = Box::pin(tasks.or(self.contend(managed)));
        }
        tasks.await;
    }

    async fn follow(&self) {
        let follower = Follower::new(self.log.clone(), self.clock.clone(), Stream::Leases, 0);
        let mut follower = follower.with_max_backoff(MAX_BACKOFF);
        loop {
            let outcome = follower.read_next().await;
            if let Ok(ReadOutcome::Lost(first)) = outcome {
                follower.seek(first);
            }
            let read = LeaseRead::decode(outcome);
            for managed in self.leases.values() {
                managed.apply_read(&read);
            }
        }
    }

    /// Appends the records that the contender of one lease decides on.
    async fn contend(&self, managed: &ManagedLease) {
        loop {
            let changed = managed.changed.listen();
            let decision = managed.contender.lock().poll(self.clock.now());
            match decision {
                LeaseDecision::Wait(delay) => changed.or(self.clock.sleep(delay)).await,
                LeaseDecision::Append(record) => {
                    if !self.append(&record).await {
                        managed.contender.lock().append_failed(self.clock.now());
                    }
                }
            }
        }
    }

    /// Appends a record; `false` when it failed or its outcome is unknown.
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

    /// Releases all leases at once, for a planned stop. All writes under a lease must have finished
    /// before.
    pub async fn release(&self) {
        for managed in self.leases.values() {
            let record = managed.contender.lock().release(self.clock.now());
            let Some(record) = record else {
                continue;
            };
            for _ in 0..MAX_RELEASE_ATTEMPTS {
                if self.append(&record).await {
                    break;
                }
            }
        }
    }
}

impl ManagedLease {
    /// Applies the result of a read.
    fn apply_read(&self, read: &LeaseRead) {
        let mut contender = self.contender.lock();
        let now = self.clock.now();
        match read {
            LeaseRead::Failed => contender.read_failed(),
            LeaseRead::Lost(first) => contender.mark_lost(now, *first),
            LeaseRead::Records(records) => {
                for record in records {
                    match record {
                        Ok((offset, lease)) => contender.fold(now, *offset, lease),
                        // Another release may hold the lease now.
                        Err(unknown) if unknown.may_concern(contender.lease()) => {
                            contender.mark_lost(now, unknown.offset + 1);
                        }
                        Err(_) => {}
                    }
                }
                contender.read_succeeded(now);
            }
        }
        self.log_change(&contender, now);
        drop(contender);
        self.changed.notify(usize::MAX);
    }

    /// Logs that the lease was gained or lost.
    fn log_change(&self, contender: &Contender, now: Instant) {
        let mut logged_epoch = self.logged_epoch.lock();
        let (before, after) = (*logged_epoch, contender.epoch(now));
        if before == after {
            return;
        }
        *logged_epoch = after;
        let lease = contender.lease();
        match after {
            Some(epoch) => log::info!(lease:% = lease, epoch = epoch.0; "lease held"),
            None => log::info!(lease:% = lease; "lease no longer held"),
        }
    }
}
