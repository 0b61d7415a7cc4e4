//! Replication of assignments from the VMs that read the platform to those that follow them.

use {
    super::{Node, state_trailer::AssignmentNews},
    origins::AssignmentSnapshot,
    std::collections::BTreeSet,
    types::{LogPosition, Release, ServiceId},
};

impl Node {
    /// Log position of this VM's assignments.
    pub(super) fn assignments_position(&self) -> Option<LogPosition> {
        let origins = self.origins.lock();
        origins.known.assignments().map(|snapshot| snapshot.at)
    }

    /// The update for a VM whose assignments are as of `known`.
    pub(super) fn assignment_news(&self, known: Option<LogPosition>) -> AssignmentNews {
        AssignmentNews::new(self.origins.lock().known.assignments(), known)
    }

    /// Applies the update of the VM that this one follows; `None` if that runs an earlier release.
    pub(super) fn apply_assignments(&self, news: Option<AssignmentNews>) {
        let now = self.clock.now();
        let mut origins = self.origins.lock();
        let is_news = match news {
            None => {
                origins.known.set_unsupported();
                true
            }
            Some(AssignmentNews::Changed(at, services)) => {
                let snapshot = AssignmentSnapshot { at, services };
                origins.known.set_assignments(now, snapshot)
            }
            Some(AssignmentNews::Unread | AssignmentNews::Unchanged) => false,
        };
        drop(origins);
        if is_news {
            self.origins_learned.notify(usize::MAX);
        }
    }

    /// The releases at which placements failed recently.
    pub(super) fn shortages(&self) -> BTreeSet<(ServiceId, Release)> {
        self.origins.lock().known.shortages(self.clock.now())
    }

    /// Records the failed placements of a VM that follows this one.
    pub(super) fn note_shortages(&self, shortages: &BTreeSet<(ServiceId, Release)>) {
        let now = self.clock.now();
        let mut origins = self.origins.lock();
        for (service, release) in shortages {
            origins.known.note_shortage(now, service, release);
        }
    }
}
