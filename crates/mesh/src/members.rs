//! Reachability of the other VMs, as this VM sees it. Views of different VMs may differ; no
//! invariant depends on their being equal.

use {
    std::collections::BTreeMap,
    types::{Incarnation, VmId},
};

/// Consecutive failed calls after which a VM is suspected.
const MAX_FAILURES: u32 = 2;

/// How the incarnation in a message compares with the one known for its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// The known incarnation.
    Current,
    /// The first incarnation seen, or a later one after a restart of the process.
    New,
    /// An earlier incarnation than the known one: a delayed message.
    Stale,
}

/// How a call to a VM failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// Before the timeout: no connection, a closed connection, or an invalid response.
    Immediate,
    /// No response within the timeout.
    TimedOut,
}

#[derive(Debug, Clone, Copy, Default)]
struct Member {
    incarnation: Incarnation,
    failures: u32,
    suspected: bool,
    leaving: bool,
}

/// Reachability of other VMs.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: BTreeMap<VmId, Member>,
}

impl Members {
    /// Records a message from a VM. It does not end suspicion, since calls to that VM may still
    /// fail.
    pub fn record_message(&mut self, vm: &VmId, incarnation: Incarnation) -> IncarnationStatus {
        let member = self.known.entry(vm.clone()).or_default();
        if incarnation < member.incarnation {
            return IncarnationStatus::Stale;
        }
        if incarnation == member.incarnation {
            return IncarnationStatus::Current;
        }
        *member = Member {
            incarnation,
            ..Member::default()
        };
        IncarnationStatus::New
    }

    /// Records the response to a call that this VM made; ends suspicion.
    pub fn record_response(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        leaving: bool,
    ) -> IncarnationStatus {
        let status = self.record_message(vm, incarnation);
        if status != IncarnationStatus::Stale
            && let Some(member) = self.known.get_mut(vm)
        {
            member.failures = 0;
            member.suspected = false;
            member.leaving = leaving;
        }
        status
    }

    /// Records a failed call; returns `true` if the VM becomes suspected by it. One timeout is
    /// enough, whereas a call that failed immediately may only have hit a closing connection.
    pub fn record_failure(&mut self, vm: &VmId, failure: CallFailure) -> bool {
        let member = self.known.entry(vm.clone()).or_default();
        member.failures += 1;
        if member.failures < MAX_FAILURES && failure == CallFailure::Immediate {
            return false;
        }
        !std::mem::replace(&mut member.suspected, true)
    }

    /// Whether a VM can be given work: neither suspected nor known to be stopping.
    pub fn is_usable(&self, vm: &VmId) -> bool {
        let Some(member) = self.known.get(vm) else {
            return true;
        };
        !member.leaving && !member.suspected
    }

    /// Suspected VMs, which the caller probes again.
    pub fn suspected(&self) -> Vec<VmId> {
        let suspected = self.known.iter().filter(|(_, m)| m.suspected);
        suspected.map(|(vm, _)| vm.clone()).collect()
    }

    /// Last known incarnation of a VM's process.
    pub fn incarnation(&self, vm: &VmId) -> Option<Incarnation> {
        self.known.get(vm).map(|m| m.incarnation)
    }

    /// Removes VMs for which `listed` is false.
    pub fn retain(&mut self, listed: impl Fn(&VmId) -> bool) {
        self.known.retain(|vm, _| listed(vm));
    }
}
