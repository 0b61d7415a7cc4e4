//! The platform's records of releases, and the VMs that keep them.

use {
    super::Fleet,
    clock::Instant,
    origins::{LedgerStep, ReleaseRecord},
    std::collections::BTreeMap,
    types::{Era, LogPosition, ServiceId},
};

/// The topic of the records.
#[derive(Debug, Default)]
pub(crate) struct Store {
    records: BTreeMap<ServiceId, Vec<u8>>,
    end: u64,
    /// Until when calls fail.
    pub(crate) down_until: Instant,
    /// Share of the writes that are done without an answer.
    pub(crate) lost_share: f64,
    pub(crate) writes: usize,
    pub(crate) reads: usize,
}

impl Store {
    fn end(&self) -> LogPosition {
        LogPosition {
            era: Era::default(),
            offset: self.end,
        }
    }

    fn read(&mut self) -> BTreeMap<ServiceId, ReleaseRecord> {
        self.reads += 1;
        let records = self.records.iter();
        records
            .map(|(s, bytes)| (s.clone(), ReleaseRecord::decode(bytes).unwrap()))
            .collect()
    }
}

impl Fleet {
    /// Whether a VM reads the platform for its zone.
    fn is_reader(&self, vm: usize) -> bool {
        let up = |vm: &usize| self.vms[*vm].origins.is_some() && !self.is_cut(*vm);
        let mut zone = (0..self.vms.len()).filter(|v| self.vms[*v].zone == self.vms[vm].zone);
        zone.find(up) == Some(vm)
    }

    /// A VM that reads the platform keeps the records.
    pub(super) fn keep_records(&mut self, vm: usize) {
        let now = self.now;
        if !self.keeps_records || self.is_cut(vm) {
            return;
        }
        let is_reader = self.is_reader(vm);
        let answers = now >= self.store.down_until;
        let vm = &mut self.vms[vm];
        let Some(origins) = &mut vm.origins else {
            return;
        };
        if !is_reader {
            vm.ledger.reset();
            return;
        }
        match vm.ledger.step(now, origins) {
            LedgerStep::Wait => {}
            _ if !answers => vm.ledger.failed(now),
            LedgerStep::Read => {
                let records = self.store.read();
                vm.ledger.apply(now, self.store.end(), records, origins);
            }
            LedgerStep::Write(_, _, at) if at != self.store.end => vm.ledger.conflicted(now),
            LedgerStep::Write(service, record, _) => {
                self.store.writes += 1;
                self.store.end += 1;
                let bytes = record.encode().unwrap();
                self.store.records.insert(service.clone(), bytes);
                if self.rng.f64() < self.store.lost_share {
                    vm.ledger.failed(now);
                } else {
                    vm.ledger.written(service, record, self.store.end());
                }
            }
        }
    }
}
