//! The product's state machine.

use {
    super::{
        lease_view::{Figure, LeaseView, Permission, Time},
        wire::{Append, AppendAnswer, Records},
    },
    clock::Instant,
    coord::{DutyEntry, DutyLease, DutyStep, LogChange, SealedWindow},
    types::{Era, LogPosition, OrgId},
};

/// First byte of the records of another format. It is no valid MessagePack.
const OTHER_FORMAT: u8 = 0xc1;
const ORG: &str = "o";

/// The product's lease with its record format.
pub(crate) struct CurrentLease {
    lease: DutyLease,
    /// Whether the VM writes a format that only VMs of its own kind can decode.
    other_format: bool,
}

impl CurrentLease {
    pub(crate) fn new(lease: DutyLease, other_format: bool) -> Self {
        Self {
            lease,
            other_format,
        }
    }

    fn encode(&self, (entry, at): (DutyEntry, u64)) -> Append {
        let mut bytes = entry.encode().unwrap();
        if self.other_format {
            bytes.insert(0, OTHER_FORMAT);
        }
        Append { bytes, at }
    }

    fn observe(&mut self, time: Time, era: u64, offset: u64) -> LogChange {
        let era = Era(era);
        let end = LogPosition { era, offset };
        self.lease.observe(time.now, end, time.unix)
    }

    fn decode(&self, bytes: &[u8]) -> Option<DutyEntry> {
        match bytes.strip_prefix(&[OTHER_FORMAT]) {
            Some(rest) if self.other_format => DutyEntry::decode(rest).ok(),
            _ => DutyEntry::decode(bytes).ok(),
        }
    }
}

fn org() -> OrgId {
    ORG.parse().unwrap()
}

impl LeaseView for CurrentLease {
    fn must_read(&self) -> bool {
        self.lease.must_read()
    }

    fn is_holder(&self) -> bool {
        self.lease.is_holder()
    }

    fn end_offset(&self) -> u64 {
        self.lease.end_offset()
    }

    fn read_done(&mut self, time: Time, records: &Records) -> bool {
        let Records { era, end, .. } = *records;
        match self.observe(time, era, end) {
            LogChange::Continues => {}
            LogChange::Restarted => return true,
            LogChange::Outdated => return false,
        }
        for (offset, bytes) in records.numbered() {
            match self.decode(bytes) {
                Some(entry) => self.lease.fold(time.now, offset, &entry),
                None => self.lease.skip(time.now, offset),
            }
        }
        if records.is_complete() {
            self.lease.read_to(time.now, end);
        }
        true
    }

    fn next_append(&mut self, now: Instant) -> Option<Append> {
        match self.lease.next_step(now) {
            DutyStep::Append(entry, at) => Some(self.encode((entry, at))),
            DutyStep::Wait(_) => None,
        }
    }

    fn seal(&mut self, now: Instant, figure: Figure) -> Option<Append> {
        let sealed = SealedWindow {
            window: figure.window,
            counts: [(org(), figure.count)].into(),
        };
        let sealed = self.lease.seal(now, sealed)?;
        Some(self.encode(sealed))
    }

    fn append_started(&mut self, now: Instant, append: &Append) {
        if let Some(entry) = self.decode(&append.bytes) {
            self.lease.append_started(now, &entry);
        }
    }

    fn append_done(&mut self, time: Time, append: &Append, answer: Option<AppendAnswer>) {
        let Some(answer) = answer else {
            return self.lease.require_read();
        };
        let change = self.observe(time, answer.era, answer.end);
        match (answer.offset, self.decode(&append.bytes)) {
            (Some(offset), Some(entry)) if change == LogChange::Continues => {
                self.lease.fold(time.now, offset, &entry);
            }
            _ => self.lease.require_read(),
        }
    }

    fn permission(&self, now: Instant) -> Option<Permission> {
        let permit = self.lease.permit(now)?;
        Some(Permission {
            token: permit.epoch.0,
            until: permit.until,
        })
    }

    fn sealed(&self, window: u64) -> Option<u64> {
        let sealed = self.lease.sealed(window)?;
        sealed.counts.get(&org()).copied()
    }
}
