//! The steward daemon: follows the platform for its VM.

mod orders;
mod process;
mod snapshot;

pub use process::{FleetSettings, LeaseSettings, StewardSettings, run_steward};
