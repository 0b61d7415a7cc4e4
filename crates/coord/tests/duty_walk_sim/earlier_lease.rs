//! The state machine of release 839a701, whose records carry no tenure.

use {
    super::{
        lease_view::{Figure, LeaseView, Permission, Time},
        wire::{Append, AppendAnswer, Records},
    },
    clock::Instant,
    coord::{DutyRecord, DutyTiming, SealedWindow},
    std::{collections::BTreeMap, time::Duration},
    types::{Incarnation, VmId},
};

const MAX_SEALED: usize = 16;
const ORG: &str = "o";

/// What the release keeps of the log: the newest claim is the holder, and its offset the token.
pub(crate) struct EarlierLease {
    vm: VmId,
    incarnation: Incarnation,
    timing: DutyTiming,
    jitter: Duration,
    end: u64,
    /// Writer of the newest claim, and its offset.
    claim: Option<(VmId, Incarnation, u64)>,
    last_record: Instant,
    renewed_at: Option<Instant>,
    sent_at: Option<Instant>,
    caught_up: bool,
    sealed: BTreeMap<u64, u64>,
}

impl EarlierLease {
    pub(crate) fn new(
        now: Instant,
        (vm, incarnation): (VmId, Incarnation),
        timing: DutyTiming,
        jitter: Duration,
    ) -> Self {
        Self {
            vm,
            incarnation,
            timing,
            jitter,
            end: 0,
            claim: None,
            last_record: now,
            renewed_at: None,
            sent_at: None,
            caught_up: false,
            sealed: BTreeMap::new(),
        }
    }

    fn fold(&mut self, now: Instant, offset: u64, bytes: &[u8]) {
        if offset < self.end {
            return;
        }
        self.end = offset + 1;
        self.last_record = now;
        let Ok(record) = rmp_serde::from_slice::<DutyRecord>(bytes) else {
            return;
        };
        let (vm, incarnation) = record.writer();
        match &record {
            DutyRecord::Claim(..) => {
                self.claim = Some((vm.clone(), incarnation, offset));
                self.renewed_at = None;
            }
            DutyRecord::Renew(..) => {}
            DutyRecord::Seal(_, _, sealed) => self.remember(sealed),
        }
        let is_own = *vm == self.vm && incarnation == self.incarnation;
        if is_own && let Some(sent_at) = self.sent_at.take() {
            self.renewed_at = Some(sent_at);
        }
    }

    fn remember(&mut self, sealed: &SealedWindow) {
        let count = sealed.counts.values().sum();
        self.sealed.entry(sealed.window).or_insert(count);
        while self.sealed.len() > MAX_SEALED {
            self.sealed.pop_first();
        }
    }

    fn append(&self, record: &DutyRecord) -> Append {
        Append {
            bytes: rmp_serde::to_vec(record).unwrap(),
            at: self.end,
        }
    }
}

impl LeaseView for EarlierLease {
    fn must_read(&self) -> bool {
        !self.caught_up
    }

    fn is_holder(&self) -> bool {
        let claim = self.claim.as_ref();
        claim.is_some_and(|(vm, incarnation, _)| *vm == self.vm && *incarnation == self.incarnation)
    }

    fn end_offset(&self) -> u64 {
        self.end
    }

    fn read_done(&mut self, time: Time, records: &Records) -> bool {
        for (offset, bytes) in records.numbered() {
            self.fold(time.now, offset, bytes);
        }
        if records.is_complete() {
            self.end = self.end.max(records.end);
            self.caught_up = true;
            self.sent_at = None;
        }
        true
    }

    fn next_append(&mut self, now: Instant) -> Option<Append> {
        if !self.caught_up {
            return None;
        }
        let (vm, incarnation) = (self.vm.clone(), self.incarnation);
        if self.is_holder()
            && let Some(renewed_at) = self.renewed_at
        {
            let due = renewed_at + self.timing.renew;
            return (now >= due).then(|| self.append(&DutyRecord::Renew(vm, incarnation)));
        }
        let due = match self.claim {
            Some(_) => self.last_record + self.timing.lease + self.jitter,
            None => self.last_record + self.jitter,
        };
        (now >= due).then(|| self.append(&DutyRecord::Claim(vm, incarnation)))
    }

    fn seal(&mut self, now: Instant, figure: Figure) -> Option<Append> {
        self.permission(now)?;
        if !self.caught_up || self.sealed.contains_key(&figure.window) {
            return None;
        }
        let sealed = SealedWindow {
            window: figure.window,
            counts: [(ORG.parse().unwrap(), figure.count)].into(),
        };
        let record = DutyRecord::Seal(self.vm.clone(), self.incarnation, sealed);
        Some(self.append(&record))
    }

    fn append_started(&mut self, now: Instant, _append: &Append) {
        self.sent_at = Some(now);
    }

    fn append_done(&mut self, time: Time, append: &Append, answer: Option<AppendAnswer>) {
        match answer.and_then(|a| a.offset) {
            Some(offset) => self.fold(time.now, offset, &append.bytes),
            None => self.caught_up = false,
        }
    }

    fn permission(&self, now: Instant) -> Option<Permission> {
        let (_, _, token) = self.claim.as_ref().filter(|_| self.is_holder())?;
        let until = self.renewed_at? + self.timing.hold;
        (now < until).then_some(Permission {
            token: *token,
            until,
        })
    }

    fn sealed(&self, window: u64) -> Option<u64> {
        self.sealed.get(&window).copied()
    }
}
