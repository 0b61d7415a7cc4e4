//! Which other VMs can be reached, as this VM sees it. Views of VMs differ; nothing that must always
//! hold depends on equal views.

use {
    clock::Stamp,
    std::{collections::BTreeMap, time::Duration},
    types::{Incarnation, VmId},
};

/// Failed calls in a row after which a VM is suspected.
const MAX_FAILURES: u32 = 2;
/// Time after which a suspected VM is tried again.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// What a call's answer tells of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// The same start of the process as before.
    Same,
    /// The first contact, or a new start of the process.
    Started,
    /// An older start of the process than the one known: a late message.
    Stale,
}

#[derive(Debug, Clone, Copy, Default)]
struct Member {
    incarnation: Incarnation,
    failures: u32,
    suspected: Option<Stamp>,
    leaving: bool,
}

/// Reachability of other VMs.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: BTreeMap<VmId, Member>,
}

impl Members {
    /// Takes in a message from a VM. A message alone does not end suspicion: the way back may be cut.
    pub fn heard(&mut self, vm: &VmId, incarnation: Incarnation) -> Heard {
        let member = self.known.entry(vm.clone()).or_default();
        if incarnation < member.incarnation {
            return Heard::Stale;
        }
        if incarnation == member.incarnation {
            return Heard::Same;
        }
        *member = Member {
            incarnation,
            ..Member::default()
        };
        Heard::Started
    }

    /// Takes in an answer to a call that this VM made; ends suspicion.
    pub fn answered(&mut self, vm: &VmId, incarnation: Incarnation, leaving: bool) -> Heard {
        let heard = self.heard(vm, incarnation);
        if heard != Heard::Stale
            && let Some(member) = self.known.get_mut(vm)
        {
            member.failures = 0;
            member.suspected = None;
            member.leaving = leaving;
        }
        heard
    }

    /// Takes in a failed call; `true` when the VM becomes suspected by it.
    pub fn failed(&mut self, now: Stamp, vm: &VmId) -> bool {
        let member = self.known.entry(vm.clone()).or_default();
        member.failures += 1;
        if member.failures < MAX_FAILURES {
            return false;
        }
        let fresh = member.suspected.is_none();
        member.suspected = Some(now);
        fresh
    }

    /// Whether a VM can be given work: not known to be leaving, and not suspected of late.
    pub fn is_usable(&self, now: Stamp, vm: &VmId) -> bool {
        let Some(member) = self.known.get(vm) else {
            return true;
        };
        let suspected = member
            .suspected
            .is_some_and(|at| now.since(at) < RETRY_AFTER);
        !member.leaving && !suspected
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
