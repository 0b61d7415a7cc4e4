//! The position by which a VM shares in the rates of cold endpoints.
//!
//! Designed for partitions between VMs that leave the endpoints reachable, failures of hubs and restarts of many VMs.
//! When the known fleet shrinks, the missing VMs may still send, so each VM keeps its earlier share.

use {super::FleetRank, clock::Instant, std::time::Duration};

/// Time for which an earlier position is kept while the fleet seems smaller, or the position is unknown.
const HOLD_TIME: Duration = Duration::from_secs(30);
/// Time after which a VM that has never had a peer assumes a fleet of one.
const SOLE_VM_DELAY: Duration = Duration::from_secs(10);

/// The position in the largest fleet that was known lately.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeldRank {
    rank: Option<FleetRank>,
    /// When a position in a fleet of this size was last known.
    confirmed: Instant,
    /// Time of the first update.
    since: Option<Instant>,
}

impl HeldRank {
    /// Updates the position from the membership that this VM knows.
    pub(crate) fn update(&mut self, now: Instant, rank: Option<FleetRank>) {
        let since = *self.since.get_or_insert(now);
        let vms = self.rank.map_or(0, |r| r.vms);
        let Some(rank) = rank else {
            if now.since(self.confirmed) >= HOLD_TIME && vms > 1 {
                self.rank = None;
            }
            return;
        };
        let alone = rank.vms <= 1;
        if alone && (vms > 1 || now.since(since) < SOLE_VM_DELAY) {
            return;
        }
        if rank.vms >= vms || now.since(self.confirmed) >= HOLD_TIME {
            self.rank = Some(rank);
            self.confirmed = now;
        }
    }

    /// The position; `None` if this VM has no share.
    pub(crate) fn get(&self) -> Option<FleetRank> {
        self.rank
    }
}
