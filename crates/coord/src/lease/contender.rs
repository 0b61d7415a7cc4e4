//! The decisions of one process that holds a lease or waits for it. No I/O; time is an argument.

use {
    super::{Holder, LeaseBase, LeaseId, LeaseRecord, LeaseState, LeaseStep, LeaseTiming},
    clock::Stamp,
    fastrand::Rng,
    std::{collections::VecDeque, time::Duration},
    types::{Epoch, RequestId},
};

/// Own records that are kept until they are seen in the log.
const KEPT_SENT: usize = 16;

/// What a contender does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Appends this record to the lease stream.
    Append(LeaseRecord),
    /// Waits this long, or for news.
    Wait(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    id: RequestId,
    at: Stamp,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    epoch: Epoch,
    until: Stamp,
}

/// One process's part in the contest for one lease.
#[derive(Debug, Clone)]
pub struct Contender {
    lease: LeaseId,
    me: Holder,
    times: LeaseTiming,
    rng: Rng,
    state: LeaseState,
    /// When the last possibly valid record was read.
    heard: Stamp,
    /// Whether the last read succeeded.
    in_touch: bool,
    jitter: Duration,
    sent: VecDeque<Sent>,
    next_append: Stamp,
    held: Option<Held>,
    closed: bool,
}

impl Contender {
    /// A contender that has read nothing yet.
    pub fn new(lease: LeaseId, me: Holder, times: LeaseTiming, seed: u64) -> Self {
        Self {
            lease,
            me,
            times,
            rng: Rng::with_seed(seed),
            state: LeaseState::default(),
            heard: Stamp::default(),
            in_touch: false,
            jitter: Duration::ZERO,
            sent: VecDeque::new(),
            next_append: Stamp::default(),
            held: None,
            closed: false,
        }
    }

    /// The lease.
    pub fn lease(&self) -> &LeaseId {
        &self.lease
    }

    /// Fencing number, if the lease is held at `now`.
    pub fn epoch(&self, now: Stamp) -> Option<Epoch> {
        let held = self.held.filter(|h| !self.closed && now < h.until)?;
        Some(held.epoch)
    }

    /// Takes note of a read that succeeded. `now` is the time after the read.
    pub fn read_succeeded(&mut self, now: Stamp) {
        if !self.in_touch {
            self.in_touch = true;
            self.redraw();
            self.next_append = self.next_append.max(now + self.jitter);
        }
    }

    /// Takes note of a read that failed.
    pub fn read_failed(&mut self) {
        self.in_touch = false;
    }

    /// Takes note that records below `first` were lost before they were read.
    pub fn mark_lost(&mut self, now: Stamp, first: u64) {
        self.state.mark_lost(first);
        self.heard = now;
    }

    /// Folds a record of any lease. `now` is the time after the read.
    pub fn fold(&mut self, now: Stamp, offset: u64, record: &LeaseRecord) {
        if record.lease != self.lease || !self.state.fold(offset, record) {
            return;
        }
        self.heard = now;
        self.redraw();
        let own = self.state.confirmed().filter(|(o, _)| *o == offset);
        let own = own.filter(|(_, mark)| mark.holder == self.me && !mark.released);
        let Some((_, mark)) = own else {
            self.held = None;
            return;
        };
        let sent = self.sent.iter().find(|s| s.id == record.id);
        self.held = sent.map(|s| Held {
            epoch: mark.epoch,
            until: s.at + self.times.hold_time(),
        });
    }

    fn redraw(&mut self) {
        let nanos = u64::try_from(self.times.spread.as_nanos()).unwrap_or(u64::MAX);
        self.jitter = Duration::from_nanos(self.rng.u64(..=nanos));
    }

    /// Decides what to do at `now`. The time of an append counts from `now`.
    pub fn poll(&mut self, now: Stamp) -> LeaseDecision {
        if self.closed || !self.in_touch {
            return LeaseDecision::Wait(self.times.retry_delay());
        }
        let due = self.due().max(self.next_append);
        if now < due {
            return LeaseDecision::Wait(due.since(now));
        }
        let (base, step) = self.next_step();
        self.next_append = now + self.times.renew_interval();
        LeaseDecision::Append(self.record(now, base, step))
    }

    /// When the next record is due.
    fn due(&self) -> Stamp {
        if self.own_mark().is_some() {
            return self.next_append;
        }
        if self.state.is_free() {
            return self.heard + self.jitter;
        }
        self.heard + self.times.takeover_delay() + self.jitter
    }

    fn own_mark(&self) -> Option<(u64, Epoch)> {
        let (offset, mark) = self.state.confirmed()?;
        (mark.holder == self.me && !mark.released).then_some((offset, mark.epoch))
    }

    fn next_step(&self) -> (LeaseBase, LeaseStep) {
        match self.own_mark() {
            Some((offset, epoch)) => (LeaseBase::on(offset), LeaseStep::Renew(epoch)),
            None => (self.state.claim_base(), LeaseStep::Claim),
        }
    }

    fn record(&mut self, now: Stamp, base: LeaseBase, step: LeaseStep) -> LeaseRecord {
        let id = RequestId::from_bits(self.rng.u128(..));
        self.sent.push_back(Sent { id, at: now });
        if self.sent.len() > KEPT_SENT {
            self.sent.pop_front();
        }
        LeaseRecord {
            id,
            lease: self.lease.clone(),
            holder: self.me.clone(),
            base,
            step,
        }
    }

    /// Takes note that an append failed; the record may be in the log nevertheless.
    pub fn append_failed(&mut self, now: Stamp) {
        self.next_append = now + self.times.retry_delay();
    }

    /// Gives the lease up for good; returns the record that tells the others, if it was held.
    pub fn close(&mut self, now: Stamp) -> Option<LeaseRecord> {
        if std::mem::replace(&mut self.closed, true) {
            return None;
        }
        let (offset, epoch) = self.own_mark()?;
        Some(self.record(now, LeaseBase::on(offset), LeaseStep::Release(epoch)))
    }
}
