//! Coordination through the platform's append-only log: following a stream, and leases with fencing
//! tokens. Used by celerystage's daemons; other programs can embed it.

mod duty;
mod follower;
mod lease;
mod newest;

pub use {
    duty::{
        DutyEntry, DutyLease, DutyMember, DutyPermit, DutyRecord, DutyStep, DutyTiming, LogChange,
        SealedWindow, Trailer,
    },
    follower::{Follower, ReadOutcome},
    lease::{
        Contender, Holder, LeaseBase, LeaseDecision, LeaseHandle, LeaseId, LeaseManager,
        LeaseOwnership, LeaseRecord, LeaseState, LeaseStep, LeaseTable, LeaseTiming,
    },
    newest::newest_records,
};
