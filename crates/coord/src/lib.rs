//! Coordination through the platform's append-only log, for celerystage's daemons and for others to
//! embed: following a stream, leases with fencing numbers.

mod duty;
mod follower;
mod lease;
mod newest;

pub use {
    duty::{DutyLease, DutyRecord, DutyStep, DutyTiming, SealedWindow},
    follower::{Batch, Follower},
    lease::{
        Contender, Holder, LeaseBase, LeaseDecision, LeaseHandle, LeaseId, LeaseManager,
        LeaseOwnership, LeaseRecord, LeaseState, LeaseStep, LeaseTable, LeaseTiming,
    },
    newest::newest_records,
};
