//! Which other VMs can be reached, as this VM sees it. Views of VMs differ; nothing that must always
//! hold depends on equal views.

use {
    std::collections::BTreeMap,
    types::{Incarnation, VmId},
};

/// Failed calls in a row after which a VM is suspected.
const MAX_FAILURES: u32 = 2;

/// What a call's answer tells of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// The same start of the process as before.
    Current,
    /// The first contact, or a new start of the process.
    New,
    /// An older start of the process than the one known: a late message.
    Stale,
}

/// How a call to a VM failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// At once: no connection, a closed one, or an answer that is not valid.
    Immediate,
    /// After its time limit.
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
    /// Takes in a message from a VM. A message alone does not end suspicion: the way back may be cut.
    pub fn heard(&mut self, vm: &VmId, incarnation: Incarnation) -> IncarnationStatus {
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

    /// Takes in an answer to a call that this VM made; ends suspicion.
    pub fn answered(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        leaving: bool,
    ) -> IncarnationStatus {
        let heard = self.heard(vm, incarnation);
        if heard != IncarnationStatus::Stale
            && let Some(member) = self.known.get_mut(vm)
        {
            member.failures = 0;
            member.suspected = false;
            member.leaving = leaving;
        }
        heard
    }

    /// Takes in a failed call; `true` when the VM becomes suspected by it. A call that timed out is
    /// enough; one that failed at once may have met a closing connection.
    pub fn failed(&mut self, vm: &VmId, missed: CallFailure) -> bool {
        let member = self.known.entry(vm.clone()).or_default();
        member.failures += 1;
        if member.failures < MAX_FAILURES && missed == CallFailure::Immediate {
            return false;
        }
        !std::mem::replace(&mut member.suspected, true)
    }

    /// Whether a VM can be given work: neither suspected nor known to be leaving.
    pub fn is_usable(&self, vm: &VmId) -> bool {
        let Some(member) = self.known.get(vm) else {
            return true;
        };
        !member.leaving && !member.suspected
    }

    /// Suspected VMs, to be tried again.
    pub fn suspected(&self) -> Vec<VmId> {
        let suspected = self.known.iter().filter(|(_, m)| m.suspected);
        suspected.map(|(vm, _)| vm.clone()).collect()
    }

    /// Start of the VM's process, as last heard.
    pub fn incarnation(&self, vm: &VmId) -> Option<Incarnation> {
        self.known.get(vm).map(|m| m.incarnation)
    }

    /// Forgets VMs that `listed` does not name.
    pub fn retain(&mut self, listed: impl Fn(&VmId) -> bool) {
        self.known.retain(|vm, _| listed(vm));
    }
}
