//! Who holds the seat, as one VM sees it.

use {
    super::{DutyRecord, SealedWindow},
    clock::Stamp,
    std::{collections::BTreeMap, time::Duration},
    types::{Epoch, Incarnation, VmId},
};

/// Sealed windows that are remembered: more than are ever due at once.
const MOST_SEALED: usize = 16;

/// Times of a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyTiming {
    /// Time without a record after which others may claim.
    pub lease: Duration,
    /// Time after sending a record in which the holder acts; shorter than `lease` by the time that a
    /// call may still be under way.
    pub hold: Duration,
    /// Time between renewals.
    pub renew: Duration,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyStep {
    /// Nothing before this time has passed.
    Wait(Duration),
    /// Append this record if the log ends at the offset.
    Append(DutyRecord, u64),
}

/// The holder as the log shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    vm: VmId,
    inc: Incarnation,
    epoch: Epoch,
}

/// One VM's view of the seat.
#[derive(Debug, Clone)]
pub struct DutyLease {
    vm: VmId,
    inc: Incarnation,
    times: DutyTiming,
    end: u64,
    holder: Option<Holder>,
    /// When the newest record was seen.
    seen: Stamp,
    /// When the newest record of this VM that is in the log was sent.
    sent: Option<Stamp>,
    /// When the record that may be under way was sent.
    flying: Option<Stamp>,
    /// Whether the log was read to its end since the last append of unknown outcome.
    read: bool,
    sealed: BTreeMap<u64, SealedWindow>,
    jitter: Duration,
}

impl DutyLease {
    /// A view before anything was read. `jitter` spreads claims of VMs that see a lapse at once.
    pub fn new(
        now: Stamp,
        vm: VmId,
        inc: Incarnation,
        times: DutyTiming,
        jitter: Duration,
    ) -> Self {
        Self {
            vm,
            inc,
            times,
            end: 0,
            holder: None,
            seen: now,
            sent: None,
            flying: None,
            read: false,
            sealed: BTreeMap::new(),
            jitter,
        }
    }

    /// Offset to read from.
    pub fn end_offset(&self) -> u64 {
        self.end
    }

    /// Takes in a record that was read.
    pub fn fold(&mut self, now: Stamp, offset: u64, record: &DutyRecord) {
        if offset < self.end {
            return;
        }
        self.end = offset + 1;
        self.seen = now;
        let (vm, inc) = record.writer();
        let own = *vm == self.vm && inc == self.inc;
        match record {
            DutyRecord::Claim(..) => {
                self.holder = Some(Holder {
                    vm: vm.clone(),
                    inc,
                    epoch: Epoch(offset),
                });
                self.sent = None;
            }
            DutyRecord::Renew(..) => {}
            DutyRecord::Seal(_, _, sealed) => self.remember(sealed.clone()),
        }
        if own && let Some(sent) = self.flying.take() {
            self.sent = Some(sent);
        }
    }

    /// Takes in a record that cannot be decoded: it still moves the end.
    pub fn skip(&mut self, now: Stamp, offset: u64) {
        if offset >= self.end {
            self.end = offset + 1;
            self.seen = now;
        }
    }

    /// Takes note that the log was read to `end`.
    pub fn read_to(&mut self, end: u64) {
        self.end = self.end.max(end);
        self.read = true;
        self.flying = None;
    }

    /// Takes note that a record is sent now.
    pub fn append_started(&mut self, now: Stamp) {
        self.flying = Some(now);
    }

    /// Takes note that an append failed or its outcome is unknown: the log is read before the next one.
    pub fn require_read(&mut self) {
        self.read = false;
    }

    /// The fencing number while this VM may act.
    pub fn epoch(&self, now: Stamp) -> Option<Epoch> {
        let holder = self.holder.as_ref()?;
        let sent = self.sent?;
        let own = holder.vm == self.vm && holder.inc == self.inc;
        (own && now.since(sent) < self.times.hold).then_some(holder.epoch)
    }

    /// The VM that holds the seat as far as the log shows.
    pub fn holder(&self) -> Option<&VmId> {
        self.holder.as_ref().map(|h| &h.vm)
    }

    /// Whether the log shows this process as the holder.
    pub fn is_holder(&self) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|h| h.vm == self.vm && h.inc == self.inc)
    }

    /// Whether the log has to be read before anything is appended.
    pub fn must_read(&self) -> bool {
        !self.read
    }

    /// What to do next about the seat.
    pub fn next_step(&self, now: Stamp) -> DutyStep {
        if !self.read {
            return DutyStep::Wait(Duration::ZERO);
        }
        let (vm, inc) = (self.vm.clone(), self.inc);
        if self.is_holder()
            && let Some(sent) = self.sent
        {
            let due = sent + self.times.renew;
            if now >= due {
                return DutyStep::Append(DutyRecord::Renew(vm, inc), self.end);
            }
            return DutyStep::Wait(due.since(now));
        }
        let due = match self.holder {
            Some(_) => self.seen + self.times.lease + self.jitter,
            None => self.seen + self.jitter,
        };
        if now >= due {
            return DutyStep::Append(DutyRecord::Claim(vm, inc), self.end);
        }
        DutyStep::Wait(due.since(now))
    }

    /// The record that fixes a window's figures, while this VM may act and the window is not fixed yet.
    pub fn seal(&self, now: Stamp, sealed: SealedWindow) -> Option<(DutyRecord, u64)> {
        self.epoch(now)?;
        if !self.read || self.sealed.contains_key(&sealed.window) {
            return None;
        }
        let record = DutyRecord::Seal(self.vm.clone(), self.inc, sealed);
        Some((record, self.end))
    }

    /// Figures that were fixed for a window.
    pub fn sealed(&self, window: u64) -> Option<&SealedWindow> {
        self.sealed.get(&window)
    }

    fn remember(&mut self, sealed: SealedWindow) {
        self.sealed.entry(sealed.window).or_insert(sealed);
        while self.sealed.len() > MOST_SEALED {
            self.sealed.pop_first();
        }
    }
}
