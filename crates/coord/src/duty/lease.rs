//! The duty lease as one VM sees it: a state machine without I/O.

use {
    super::{
        DutyEntry, DutyMember, DutyPermit, DutyRecord, DutyStep, DutyTiming, LogChange,
        SealedWindow, Trailer, epoch_history::EpochHistory, holder::Holder,
        sealed_windows::SealedWindows,
    },
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::{Epoch, Era, LogPosition, VmId},
};

/// The largest fencing token.
const MAX_EPOCH: Epoch = Epoch(1 << 53);
/// Time for which reads may lag behind earlier ones. A log that stays behind for longer has lost
/// records, even if the store names no new era.
const MAX_READ_LAG: Duration = Duration::from_secs(6);

/// One VM's view of the duty lease.
#[derive(Debug, Clone)]
pub struct DutyLease {
    member: DutyMember,
    timing: DutyTiming,
    started: Instant,
    /// Era of the newest answer of the log.
    era: Option<Era>,
    /// Since when answers have been behind what was read.
    behind_since: Option<Instant>,
    /// Era of the first answer.
    first_era: Era,
    /// Newest era of the records that were read.
    record_era: Era,
    end: u64,
    holder: Option<Holder>,
    epochs: EpochHistory,
    /// When the newest record was read.
    last_record: Instant,
    /// When this VM sent its newest record that is in the log.
    renewed_at: Option<Instant>,
    /// Serial numbers of the appends that may still be in flight, and when they were sent.
    in_flight: BTreeMap<u64, Instant>,
    next_serial: u64,
    /// Whether the log was read to its end after the last append of unknown outcome.
    caught_up: bool,
    windows: SealedWindows,
    /// When the first answer of this era arrived.
    era_since: Instant,
}

impl DutyLease {
    /// Creates the view before any record is read.
    pub fn new(now: Instant, member: DutyMember, timing: DutyTiming) -> Self {
        Self {
            member,
            timing,
            started: now,
            era: None,
            behind_since: None,
            first_era: Era::default(),
            record_era: Era::default(),
            end: 0,
            holder: None,
            epochs: EpochHistory::default(),
            last_record: now,
            renewed_at: None,
            in_flight: BTreeMap::new(),
            next_serial: 0,
            caught_up: false,
            windows: SealedWindows::new(timing.window),
            era_since: now,
        }
    }

    /// Returns the offset to read from: the known end of the log.
    pub fn end_offset(&self) -> u64 {
        self.end
    }

    /// Compares the end of the log, as an answer tells it, with what is known. Must be called before
    /// anything else of the answer is applied. `unix` is the time of day.
    pub fn observe(&mut self, now: Instant, end: LogPosition, unix: Duration) -> LogChange {
        self.windows.set_time(now, unix);
        let Some(era) = self.era else {
            self.era = Some(end.era);
            self.first_era = end.era;
            self.era_since = now;
            self.last_record = now;
            return LogChange::Continues;
        };
        if end.era < era {
            return LogChange::Outdated;
        }
        if end.era > era {
            self.era = Some(end.era);
            self.era_since = now;
            self.restart_view(now);
            return LogChange::Restarted;
        }
        if end.offset >= self.end {
            self.behind_since = None;
            return LogChange::Continues;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) < MAX_READ_LAG {
            return LogChange::Outdated;
        }
        self.restart_view(now);
        self.windows.close_ended(now);
        LogChange::Restarted
    }

    /// Forgets what was read. Holders that don't know yet that the log has lost records may act for
    /// the rest of their hold.
    fn restart_view(&mut self, now: Instant) {
        self.forget_holder(now, 0);
        self.record_era = Era::default();
        self.in_flight.clear();
        self.caught_up = false;
        self.behind_since = None;
        self.windows.lose_log();
    }

    fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Applies an entry that was read or appended. Whoever wrote it held the lease, unless it was
    /// written for an earlier era.
    pub fn fold(&mut self, now: Instant, offset: u64, entry: &DutyEntry) {
        if offset < self.end {
            return;
        }
        if entry.trailer.is_some_and(|t| !self.is_plausible(&t)) {
            self.skip(now, offset);
            return;
        }
        let gap = offset > self.end;
        self.end = offset + 1;
        self.last_record = now;
        match entry.trailer {
            Some(trailer) if trailer.era < self.record_era => return,
            Some(trailer) => {
                self.record_era = trailer.era;
                self.windows.close_before(trailer.next_window);
            }
            None if gap => self.windows.close_ended(now),
            None => {}
        }
        self.set_holder(offset, entry);
        if let DutyRecord::Seal(_, _, sealed) = &entry.record {
            match entry.trailer {
                // It may have been appended to the restored log, after other figures were reported.
                Some(trailer) if trailer.era < self.era() => {
                    self.windows.close(sealed.window);
                }
                // Earlier releases don't know that the seal of a closed window may have been dropped.
                None if self.windows.lacks_seal(sealed.window) => {}
                _ => self.windows.add(sealed),
            }
        }
        let trailer = entry.trailer.filter(|t| t.era == self.era());
        if self.is_holder()
            && let Some(trailer) = trailer
        {
            self.credit(trailer.serial);
        }
    }

    /// Whether a process of this project can have written it.
    fn is_plausible(&self, trailer: &Trailer) -> bool {
        trailer.era <= self.era() && trailer.epoch <= MAX_EPOCH
    }

    fn set_holder(&mut self, offset: u64, entry: &DutyEntry) {
        let (vm, incarnation) = entry.record.writer();
        let holder = Holder {
            vm: vm.clone(),
            incarnation,
            epoch: self.epoch_of(offset, entry),
            era: entry.trailer.map_or(self.first_era, |t| t.era),
        };
        self.epochs.note(holder.era, holder.epoch);
        if self.holder.as_ref() != Some(&holder) {
            self.holder = Some(holder);
            self.renewed_at = None;
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
            self.windows.close_ended(now);
        }
    }

    /// Handles a read that reached the end of the log, at offset `end`. If the log has dropped its
    /// newest records unread, their holder may still act.
    pub fn read_to(&mut self, now: Instant, end: u64) {
        if end > self.end {
            self.forget_holder(now, end);
            self.windows.close_ended(now);
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
        self.permit(now).map(|p| p.epoch)
    }

    /// Returns the permission to act as the holder, while this process has it.
    pub fn permit(&self, now: Instant) -> Option<DutyPermit> {
        let holder = self.holder.as_ref().filter(|h| self.is_own(h))?;
        let permit = DutyPermit {
            epoch: holder.epoch,
            until: self.renewed_at? + self.timing.hold,
        };
        (now < permit.until).then_some(permit)
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

    /// Whether this process is the holder according to the log.
    pub fn is_holder(&self) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|h| self.is_own(h))
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
        let own = self.holder.as_ref().filter(|h| self.is_own(h));
        if let Some(holder) = own.filter(|h| h.era == self.era()) {
            // Without a known send time, as of a claim that took effect late, it is due at once.
            let due = self.renewed_at.map_or(now, |at| at + self.timing.renew);
            if now >= due {
                return self.append_claim(holder.epoch, self.windows.next());
            }
            return DutyStep::Wait(due.since(now));
        }
        let due = if self.is_unused(now) {
            self.started + self.member.jitter
        } else {
            self.last_record + self.timing.lease + self.member.jitter
        };
        if now >= due {
            return self.claim_anew(now);
        }
        DutyStep::Wait(due.since(now))
    }

    /// Whether the log was never written to, so that there is no earlier holder.
    fn is_unused(&self, now: Instant) -> bool {
        let is_new = self.member.first_start && now.since(self.started) < self.timing.lease;
        is_new && self.end == 0 && self.era() == Era::default()
    }

    /// Renewals are claims with the same token: earlier releases need a claim to know the holder.
    fn append_claim(&self, epoch: Epoch, next_window: u64) -> DutyStep {
        let record = DutyRecord::Claim(self.member.vm.clone(), self.member.incarnation);
        DutyStep::Append(self.entry(record, epoch, next_window), self.end)
    }

    /// Begins a tenure. Where records of earlier eras may be lost, so may the seals of all windows
    /// that had ended by then.
    fn claim_anew(&self, now: Instant) -> DutyStep {
        let unused = self.is_unused(now);
        let end = LogPosition {
            era: self.era(),
            offset: self.end,
        };
        let mut next = self.windows.next();
        if !unused && self.epochs.lacks(end.era) {
            next = next.max(self.windows.window_at(self.era_since));
        }
        self.append_claim(self.epochs.next(end, unused), next)
    }

    fn entry(&self, record: DutyRecord, epoch: Epoch, next_window: u64) -> DutyEntry {
        let trailer = Some(Trailer {
            epoch,
            serial: self.next_serial,
            era: self.era(),
            next_window,
        });
        DutyEntry { record, trailer }
    }

    /// Returns the record that fixes a window's figures and the offset to append it at, if this
    /// process may act and the window is not sealed yet. Figures that were sealed before stay.
    pub fn seal(&self, now: Instant, sealed: SealedWindow) -> Option<(DutyEntry, u64)> {
        let epoch = self.epoch(now)?;
        let window = sealed.window;
        if !self.caught_up || self.windows.get(window).is_some() {
            return None;
        }
        let sealed = match self.windows.lost(window) {
            Some(lost) => lost.clone(),
            None if self.windows.is_open(window) => sealed,
            None => return None,
        };
        let (vm, incarnation) = (self.member.vm.clone(), self.member.incarnation);
        let next = self.windows.next().max(window.saturating_add(1));
        let record = DutyRecord::Seal(vm, incarnation, sealed);
        Some((self.entry(record, epoch, next), self.end))
    }

    /// Returns the figures that were fixed for a window.
    pub fn sealed(&self, window: u64) -> Option<&SealedWindow> {
        self.windows.get(window)
    }

    /// Returns the figures of a window whose seal the log has lost.
    pub fn lost_seal(&self, window: u64) -> Option<&SealedWindow> {
        self.windows.lost(window)
    }

    /// Whether a window may be sealed with new figures, since no earlier seal can exist.
    pub fn is_open(&self, window: u64) -> bool {
        self.windows.is_open(window)
    }

    fn is_own(&self, holder: &Holder) -> bool {
        holder.vm == self.member.vm && holder.incarnation == self.member.incarnation
    }
}
