//! The duty lease as one VM sees it: a state machine without I/O.

use {
    super::{DutyEntry, DutyRecord, SealedWindow, Trailer},
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::{Epoch, Incarnation, VmId},
};

/// Sealed windows that are remembered; more than are ever due at once.
const MAX_SEALED: usize = 16;

/// Durations of the duty lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyTiming {
    /// Time without a new record after which other VMs may claim.
    pub lease: Duration,
    /// Time after sending a record during which the holder acts. Shorter than `lease` by the
    /// longest time that one of its calls may still be in flight.
    pub hold: Duration,
    /// Time between renewals.
    pub renew: Duration,
}

/// Next action of a VM that contends for the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyStep {
    /// Do nothing for this long.
    Wait(Duration),
    /// Append this entry, on condition that the log ends at the offset.
    Append(DutyEntry, u64),
}

/// The holder according to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    vm: VmId,
    incarnation: Incarnation,
    epoch: Epoch,
}

/// One VM's view of the duty lease.
#[derive(Debug, Clone)]
pub struct DutyLease {
    vm: VmId,
    incarnation: Incarnation,
    timing: DutyTiming,
    end: u64,
    holder: Option<Holder>,
    /// The highest fencing token in the log.
    last_epoch: Option<Epoch>,
    /// When the newest record was read.
    last_record: Instant,
    /// When this VM sent its newest record that is in the log.
    renewed_at: Option<Instant>,
    /// Serial numbers of the appends that may still be in flight, and when they were sent.
    in_flight: BTreeMap<u64, Instant>,
    next_serial: u64,
    /// Whether the log was read to its end after the last append of unknown outcome.
    caught_up: bool,
    sealed: BTreeMap<u64, SealedWindow>,
    jitter: Duration,
}

impl DutyLease {
    /// Creates the view before any record is read. `jitter` spreads the claims of VMs that see the
    /// lease expire at the same time.
    pub fn new(
        now: Instant,
        vm: VmId,
        incarnation: Incarnation,
        timing: DutyTiming,
        jitter: Duration,
    ) -> Self {
        Self {
            vm,
            incarnation,
            timing,
            end: 0,
            holder: None,
            last_epoch: None,
            last_record: now,
            renewed_at: None,
            in_flight: BTreeMap::new(),
            next_serial: 0,
            caught_up: false,
            sealed: BTreeMap::new(),
            jitter,
        }
    }

    /// Returns the offset to read from: the known end of the log.
    pub fn end_offset(&self) -> u64 {
        self.end
    }

    /// Applies an entry that was read or appended. Whoever wrote it held the lease.
    pub fn fold(&mut self, now: Instant, offset: u64, entry: &DutyEntry) {
        if offset < self.end {
            return;
        }
        self.end = offset + 1;
        self.last_record = now;
        let (vm, incarnation) = entry.record.writer();
        let holder = Holder {
            vm: vm.clone(),
            incarnation,
            epoch: self.epoch_of(offset, entry),
        };
        self.last_epoch = self.last_epoch.max(Some(holder.epoch));
        if self.holder.as_ref() != Some(&holder) {
            self.holder = Some(holder);
            self.renewed_at = None;
        }
        if let DutyRecord::Seal(_, _, sealed) = &entry.record {
            self.remember_sealed(sealed.clone());
        }
        if self.is_holder()
            && let Some(trailer) = entry.trailer
        {
            self.credit(trailer.serial);
        }
    }

    /// Counts the hold from when the record with this serial number was sent. Those sent before it
    /// can no longer take effect.
    fn credit(&mut self, serial: u64) {
        let later = self.in_flight.split_off(&(serial + 1));
        let sent_at = self.in_flight.remove(&serial);
        self.in_flight = later;
        self.renewed_at = self.renewed_at.max(sent_at);
    }

    /// The fencing token of the tenure that an entry belongs to. Where the entry doesn't tell it, and
    /// its claim is no longer in the log, the token is at most the offset.
    fn epoch_of(&self, offset: u64, entry: &DutyEntry) -> Epoch {
        if let Some(trailer) = entry.trailer {
            return trailer.epoch;
        }
        let (vm, incarnation) = entry.record.writer();
        let known = self.holder.as_ref();
        let known = known.filter(|h| h.vm == *vm && h.incarnation == incarnation);
        match (&entry.record, known) {
            (DutyRecord::Claim(..), _) | (_, None) => Epoch(offset),
            (DutyRecord::Renew(..) | DutyRecord::Seal(..), Some(holder)) => holder.epoch,
        }
    }

    /// Handles a record that cannot be decoded: another release may hold the lease.
    pub fn skip(&mut self, now: Instant, offset: u64) {
        if offset >= self.end {
            self.forget_holder(now, offset + 1);
        }
    }

    /// Handles a read that reached the end of the log, at offset `end`. If the log has dropped its
    /// newest records unread, their holder may still act.
    pub fn read_to(&mut self, now: Instant, end: u64) {
        if end > self.end {
            self.forget_holder(now, end);
        }
        self.caught_up = true;
    }

    /// Moves the end of the log past records whose writers are unknown.
    fn forget_holder(&mut self, now: Instant, end: u64) {
        self.end = end;
        self.last_record = now;
        self.holder = None;
        self.renewed_at = None;
    }

    /// Handles the start of the append of an entry at `now`.
    pub fn append_started(&mut self, now: Instant, entry: &DutyEntry) {
        let hold = self.timing.hold;
        self.in_flight
            .retain(|_, sent_at| now.since(*sent_at) < hold);
        if let Some(trailer) = entry.trailer {
            self.in_flight.insert(trailer.serial, now);
            self.next_serial = trailer.serial + 1;
        }
    }

    /// Requires a read of the log before the next append, after one that failed or whose outcome is
    /// unknown.
    pub fn require_read(&mut self) {
        self.caught_up = false;
    }

    /// Returns the fencing token while this process may act as the holder.
    pub fn epoch(&self, now: Instant) -> Option<Epoch> {
        let holder = self.holder.as_ref()?;
        let renewed_at = self.renewed_at?;
        let is_own = holder.vm == self.vm && holder.incarnation == self.incarnation;
        (is_own && now.since(renewed_at) < self.timing.hold).then_some(holder.epoch)
    }

    /// Returns the VM that holds the lease according to the log.
    pub fn holder(&self) -> Option<&VmId> {
        self.holder.as_ref().map(|h| &h.vm)
    }

    /// Returns the fencing token of the holder according to the log.
    pub fn holder_epoch(&self) -> Option<Epoch> {
        self.holder.as_ref().map(|h| h.epoch)
    }

    /// Time since the newest record was read.
    pub fn record_age(&self, now: Instant) -> Duration {
        now.since(self.last_record)
    }

    /// Time for which this process may still act as the holder.
    pub fn hold_left(&self, now: Instant) -> Duration {
        let until = self.renewed_at.map(|t| t + self.timing.hold);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Whether this process is the holder according to the log.
    pub fn is_holder(&self) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|h| h.vm == self.vm && h.incarnation == self.incarnation)
    }

    /// Whether the log must be read before anything is appended.
    pub fn must_read(&self) -> bool {
        !self.caught_up
    }

    /// Returns the next action at `now`.
    pub fn next_step(&self, now: Instant) -> DutyStep {
        if !self.caught_up {
            return DutyStep::Wait(Duration::ZERO);
        }
        if self.is_holder()
            && let Some(holder) = &self.holder
            && let Some(renewed_at) = self.renewed_at
        {
            let due = renewed_at + self.timing.renew;
            if now >= due {
                return self.append_claim(holder.epoch);
            }
            return DutyStep::Wait(due.since(now));
        }
        let due = match self.end {
            0 => self.last_record + self.jitter,
            _ => self.last_record + self.timing.lease + self.jitter,
        };
        if now >= due {
            return self.append_claim(self.next_epoch());
        }
        DutyStep::Wait(due.since(now))
    }

    /// Renewals are claims with the same token: earlier releases need a claim to know the holder.
    fn append_claim(&self, epoch: Epoch) -> DutyStep {
        let record = DutyRecord::Claim(self.vm.clone(), self.incarnation);
        DutyStep::Append(self.entry(record, epoch), self.end)
    }

    /// A token above all those of earlier tenures: the offset of the claim, as in earlier releases.
    fn next_epoch(&self) -> Epoch {
        let above = self.last_epoch.map_or(0, |e| e.0 + 1);
        Epoch(self.end.max(above))
    }

    fn entry(&self, record: DutyRecord, epoch: Epoch) -> DutyEntry {
        let serial = self.next_serial;
        let trailer = Some(Trailer { epoch, serial });
        DutyEntry { record, trailer }
    }

    /// Returns the record that fixes a window's figures and the offset to append it at, if this
    /// process may act and the window is not sealed yet.
    pub fn seal(&self, now: Instant, sealed: SealedWindow) -> Option<(DutyEntry, u64)> {
        let epoch = self.epoch(now)?;
        if !self.caught_up || self.sealed.contains_key(&sealed.window) {
            return None;
        }
        let record = DutyRecord::Seal(self.vm.clone(), self.incarnation, sealed);
        Some((self.entry(record, epoch), self.end))
    }

    /// Returns the figures that were fixed for a window.
    pub fn sealed(&self, window: u64) -> Option<&SealedWindow> {
        self.sealed.get(&window)
    }

    fn remember_sealed(&mut self, sealed: SealedWindow) {
        self.sealed.entry(sealed.window).or_insert(sealed);
        while self.sealed.len() > MAX_SEALED {
            self.sealed.pop_first();
        }
    }
}
