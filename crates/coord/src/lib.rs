//! Coordination through the platform's append-only log, for celerystage's daemons and for others to
//! embed: following a stream, leases with fencing numbers.

mod follower;
mod lease;
mod newest;
mod seat;
mod tenure;

pub use {
    follower::{Batch, Follower},
    lease::{
        Base, Contender, Decision, Holder, Keeper, LeaseId, LeaseMark, LeaseRecord, LeaseState,
        LeaseStep, LeaseTable, LeaseTimes,
    },
    newest::newest_records,
    seat::{Sealed, Seat, SeatRecord, SeatStep, SeatTimes},
    tenure::Tenure,
};
