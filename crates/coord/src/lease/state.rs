//! The state of one lease, folded from the log.

use {
    super::{Holder, LeaseRecord, LeaseStep},
    serde::Serialize,
    std::collections::BTreeMap,
    types::Epoch,
};

/// A record that may be the lease's last valid one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeaseOwnership {
    /// Who wrote it.
    pub holder: Holder,
    /// Fencing number.
    pub epoch: Epoch,
    /// Whether the record released the lease.
    pub released: bool,
}

/// The state of one lease as far as the records that were read tell.
///
/// A record is valid if the lease's last valid record is one that it follows on from. With all records
/// read, there is one last valid record. With the oldest lost to retention there may be several that
/// are possible; the true one is always among them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseState {
    possible: BTreeMap<u64, LeaseOwnership>,
    /// The last valid record may be an unread one below this offset.
    unread: Option<u64>,
}

impl LeaseState {
    /// A lease of which no record from `first` on was read.
    pub fn starting_at(first: u64) -> Self {
        Self {
            possible: BTreeMap::new(),
            unread: (first > 0).then_some(first),
        }
    }

    /// Takes note that records below `first` were lost before they were read.
    pub fn mark_lost(&mut self, first: u64) {
        self.unread = Some(first);
    }

    /// Folds a record of this lease; `true` when it is possibly valid.
    pub fn fold(&mut self, offset: u64, record: &LeaseRecord) -> bool {
        let epoch = match record.step {
            LeaseStep::Claim => Epoch(offset),
            LeaseStep::Renew(epoch) | LeaseStep::Release(epoch) => {
                self.forget_before(epoch);
                epoch
            }
        };
        if !self.may_follow(record) {
            return false;
        }
        self.possible.retain(|o, _| !record.base.covers(*o));
        if self.unread.is_some_and(|first| first <= record.base.before) {
            self.unread = None;
        }
        let mark = LeaseOwnership {
            holder: record.holder.clone(),
            epoch,
            released: matches!(record.step, LeaseStep::Release(_)),
        };
        self.possible.insert(offset, mark);
        true
    }

    /// Only a holder that was certain of its claim renews or releases, so that the last valid record
    /// is not older than that claim.
    fn forget_before(&mut self, epoch: Epoch) {
        self.possible.retain(|o, _| *o >= epoch.0);
        if self.unread.is_some_and(|first| first <= epoch.0) {
            self.unread = None;
        }
    }

    fn may_follow(&self, record: &LeaseRecord) -> bool {
        if self.possible.keys().any(|o| record.base.covers(*o)) {
            return true;
        }
        if let Some(first) = self.unread {
            return record.base.before > 0 || record.base.after.iter().any(|o| *o < first);
        }
        self.possible.is_empty() && record.step == LeaseStep::Claim
    }

    /// The last valid record and its offset, when there is no doubt about it.
    pub fn confirmed(&self) -> Option<(u64, &LeaseOwnership)> {
        if self.unread.is_some() || self.possible.len() > 1 {
            return None;
        }
        self.latest_possible()
    }

    /// The newest record that may be valid.
    pub fn latest_possible(&self) -> Option<(u64, &LeaseOwnership)> {
        self.possible.last_key_value().map(|(o, mark)| (*o, mark))
    }

    /// Whether the lease is surely not held by anyone.
    pub fn is_free(&self) -> bool {
        match self.confirmed() {
            Some((_, mark)) => mark.released,
            None => self.unread.is_none() && self.possible.is_empty(),
        }
    }

    /// What a claim must follow on from to be valid in every possible state.
    pub fn claim_base(&self) -> super::LeaseBase {
        super::LeaseBase {
            after: self.possible.keys().copied().collect(),
            before: self.unread.unwrap_or_default(),
        }
    }
}
