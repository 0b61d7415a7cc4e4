//! The lease protocol of one process, as a state machine without I/O; the caller passes the time.

use {
    super::{Holder, LeaseBase, LeaseId, LeaseRecord, LeaseState, LeaseStep, LeaseTiming},
    clock::Instant,
    fastrand::Rng,
    std::{collections::VecDeque, time::Duration},
    types::{Epoch, RequestId},
};

/// Newest own records whose send times are kept: when the log shows one, the hold time is counted
/// from its send.
const MAX_SENT_RECORDS: usize = 16;

/// The contender's next action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Append this record to the lease stream.
    Append(LeaseRecord),
    /// Wait this long, or until new records are read.
    Wait(Duration),
}

/// An own record and the time before it was sent.
#[derive(Debug, Clone, Copy)]
struct SentRecord {
    id: RequestId,
    at: Instant,
}

/// Fencing token of the held lease, and the time until which its holder may act.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    epoch: Epoch,
    until: Instant,
}

/// Contends for one lease on behalf of one process.
#[derive(Debug, Clone)]
pub struct Contender {
    lease: LeaseId,
    holder: Holder,
    timing: LeaseTiming,
    rng: Rng,
    state: LeaseState,
    /// When the newest record that may be valid was read, or a loss of records was noticed.
    last_valid: Instant,
    /// Whether the last read of the log succeeded.
    connected: bool,
    /// Delay that spreads the claims of contenders that see the same record.
    jitter: Duration,
    sent: VecDeque<SentRecord>,
    next_append: Instant,
    held: Option<HeldLease>,
    stopped: bool,
}

impl Contender {
    /// Creates a contender that has read no records yet.
    pub fn new(lease: LeaseId, holder: Holder, timing: LeaseTiming, seed: u64) -> Self {
        Self {
            lease,
            holder,
            timing,
            rng: Rng::with_seed(seed),
            state: LeaseState::default(),
            last_valid: Instant::default(),
            connected: false,
            jitter: Duration::ZERO,
            sent: VecDeque::new(),
            next_append: Instant::default(),
            held: None,
            stopped: false,
        }
    }

    /// Returns the lease that this contender contends for.
    pub fn lease(&self) -> &LeaseId {
        &self.lease
    }

    /// Returns the fencing token if the lease is held at `now`.
    pub fn epoch(&self, now: Instant) -> Option<Epoch> {
        let held = self.held.filter(|h| !self.stopped && now < h.until)?;
        Some(held.epoch)
    }

    /// Handles a successful read; `now` is the time after the read.
    pub fn read_succeeded(&mut self, now: Instant) {
        if !self.connected {
            self.connected = true;
            self.redraw_jitter();
            self.next_append = self.next_append.max(now + self.jitter);
        }
    }

    /// Handles a failed read. Nothing is appended until a read succeeds again.
    pub fn read_failed(&mut self) {
        self.connected = false;
    }

    /// Handles the loss of the records below `first`, which were dropped before they were read.
    pub fn mark_lost(&mut self, now: Instant, first: u64) {
        self.state.mark_lost(first);
        self.last_valid = now;
    }

    /// Applies a record of the lease stream; those of other leases are ignored. `now` is the time
    /// after the read.
    pub fn fold(&mut self, now: Instant, offset: u64, record: &LeaseRecord) {
        if record.lease != self.lease || !self.state.fold(offset, record) {
            return;
        }
        self.last_valid = now;
        self.redraw_jitter();
        let own_record = self.state.confirmed().filter(|(o, _)| *o == offset);
        let own_record = own_record
            .filter(|(_, ownership)| ownership.holder == self.holder && !ownership.released);
        let Some((_, ownership)) = own_record else {
            self.held = None;
            return;
        };
        let sent = self.sent.iter().find(|s| s.id == record.id);
        self.held = sent.map(|s| HeldLease {
            epoch: ownership.epoch,
            until: s.at + self.timing.hold_time(),
        });
    }

    fn redraw_jitter(&mut self) {
        let nanos = u64::try_from(self.timing.spread.as_nanos()).unwrap_or(u64::MAX);
        self.jitter = Duration::from_nanos(self.rng.u64(..=nanos));
    }

    /// Returns the next action at `now`. The hold time of an appended record starts at `now`,
    /// before it is sent.
    pub fn poll(&mut self, now: Instant) -> LeaseDecision {
        if self.stopped || !self.connected {
            return LeaseDecision::Wait(self.timing.retry_delay());
        }
        let due = self.due().max(self.next_append);
        if now < due {
            return LeaseDecision::Wait(due.since(now));
        }
        let (base, step) = self.next_step();
        self.next_append = now + self.timing.renew_interval();
        LeaseDecision::Append(self.new_record(now, base, step))
    }

    /// Returns when the next record is due.
    fn due(&self) -> Instant {
        if self.own_record().is_some() {
            return self.next_append;
        }
        if self.state.is_free() {
            return self.last_valid + self.jitter;
        }
        self.last_valid + self.timing.takeover_delay() + self.jitter
    }

    /// Offset and fencing token of the last valid record, if it shows this process as the holder.
    fn own_record(&self) -> Option<(u64, Epoch)> {
        let (offset, ownership) = self.state.confirmed()?;
        (ownership.holder == self.holder && !ownership.released)
            .then_some((offset, ownership.epoch))
    }

    /// Returns what the next record does, and which records it follows.
    fn next_step(&self) -> (LeaseBase, LeaseStep) {
        match self.own_record() {
            Some((offset, epoch)) => (LeaseBase::after_record(offset), LeaseStep::Renew(epoch)),
            None => (self.state.claim_base(), LeaseStep::Claim),
        }
    }

    /// Builds a record and remembers when it is sent.
    fn new_record(&mut self, now: Instant, base: LeaseBase, step: LeaseStep) -> LeaseRecord {
        let id = RequestId::from_bits(self.rng.u128(..));
        self.sent.push_back(SentRecord { id, at: now });
        if self.sent.len() > MAX_SENT_RECORDS {
            self.sent.pop_front();
        }
        LeaseRecord {
            id,
            lease: self.lease.clone(),
            holder: self.holder.clone(),
            base,
            step,
        }
    }

    /// Handles a failed append. The record may be in the log nevertheless.
    pub fn append_failed(&mut self, now: Instant) {
        self.next_append = now + self.timing.retry_delay();
    }

    /// Stops contending for good. Returns a release record to append if this process holds the
    /// lease.
    pub fn release(&mut self, now: Instant) -> Option<LeaseRecord> {
        if std::mem::replace(&mut self.stopped, true) {
            return None;
        }
        let (offset, epoch) = self.own_record()?;
        Some(self.new_record(
            now,
            LeaseBase::after_record(offset),
            LeaseStep::Release(epoch),
        ))
    }
}
