//! Coordination through the platform's append-only log, for celerystage's daemons and for others to
//! embed.

mod follower;
mod tenure;

pub use {
    follower::{Batch, Follower},
    tenure::Tenure,
};
