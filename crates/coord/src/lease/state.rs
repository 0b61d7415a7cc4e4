//! The state of one lease, derived from the records of the log.

use {
    super::{Holder, LeaseRecord, LeaseStep},
    serde::Serialize,
    std::collections::BTreeMap,
    types::Epoch,
};

/// What a record that may be the lease's last valid one says of its holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeaseOwnership {
    /// Process that wrote the record.
    pub holder: Holder,
    /// Fencing token of the lease.
    pub epoch: Epoch,
    /// Whether the record released the lease.
    pub released: bool,
}

/// The state of one lease, as far as the records read so far show it.
///
/// A record is valid if its precondition covers the lease's last valid record. When all records
/// were read, the last valid record is known. When the oldest ones were lost to retention there may
/// be several candidates; the last valid record is always among them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseState {
    /// Records that may be the last valid one, by offset.
    candidates: BTreeMap<u64, LeaseOwnership>,
    /// The last valid record may be a lost one below this offset.
    lost_below: Option<u64>,
}

impl LeaseState {
    /// Returns the state before the record at `first` is read; earlier records are lost.
    pub fn starting_at(first: u64) -> Self {
        Self {
            candidates: BTreeMap::new(),
            lost_below: (first > 0).then_some(first),
        }
    }

    /// Handles the loss of the records below `first`, which were dropped before they were read.
    pub fn mark_lost(&mut self, first: u64) {
        self.lost_below = Some(first);
    }

    /// Applies a record of this lease; `true` when it may be valid.
    pub fn fold(&mut self, offset: u64, record: &LeaseRecord) -> bool {
        let epoch = match record.step {
            LeaseStep::Claim => Epoch(offset),
            LeaseStep::Renew(epoch) | LeaseStep::Release(epoch) => {
                self.drop_before(epoch);
                epoch
            }
        };
        if !self.can_follow(record) {
            return false;
        }
        self.candidates.retain(|o, _| !record.base.covers(*o));
        if self
            .lost_below
            .is_some_and(|first| first <= record.base.before)
        {
            self.lost_below = None;
        }
        let ownership = LeaseOwnership {
            holder: record.holder.clone(),
            epoch,
            released: matches!(record.step, LeaseStep::Release(_)),
        };
        self.candidates.insert(offset, ownership);
        true
    }

    /// Drops candidates older than the claim with number `epoch`. Only a holder whose claim was
    /// confirmed renews or releases, so the last valid record is not older than that claim.
    fn drop_before(&mut self, epoch: Epoch) {
        self.candidates.retain(|o, _| *o >= epoch.0);
        if self.lost_below.is_some_and(|first| first <= epoch.0) {
            self.lost_below = None;
        }
    }

    /// Whether the record's precondition covers a possible last valid record.
    fn can_follow(&self, record: &LeaseRecord) -> bool {
        if self.candidates.keys().any(|o| record.base.covers(*o)) {
            return true;
        }
        if let Some(first) = self.lost_below {
            return record.base.before > 0 || record.base.after.iter().any(|o| *o < first);
        }
        self.candidates.is_empty() && record.step == LeaseStep::Claim
    }

    /// Returns the last valid record and its offset, if there is only one candidate.
    pub fn confirmed(&self) -> Option<(u64, &LeaseOwnership)> {
        if self.lost_below.is_some() || self.candidates.len() > 1 {
            return None;
        }
        self.latest_possible()
    }

    /// Returns the newest record that may be valid, with its offset.
    pub fn latest_possible(&self) -> Option<(u64, &LeaseOwnership)> {
        self.candidates
            .last_key_value()
            .map(|(o, ownership)| (*o, ownership))
    }

    /// Whether the lease is certainly not held: never claimed, or released.
    pub fn is_free(&self) -> bool {
        match self.confirmed() {
            Some((_, ownership)) => ownership.released,
            None => self.lost_below.is_none() && self.candidates.is_empty(),
        }
    }

    /// Returns a precondition that holds for a claim in every possible state.
    pub fn claim_base(&self) -> super::LeaseBase {
        super::LeaseBase {
            after: self.candidates.keys().copied().collect(),
            before: self.lost_below.unwrap_or_default(),
        }
    }
}
