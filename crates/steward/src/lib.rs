//! The steward daemon: keeps the entry of its VM up to date with the platform, and orders
//! endpoints, seals usage and writes snapshots while it holds the leases for them.

mod orders;
mod process;
mod snapshot;

pub use process::{FleetSettings, LeaseSettings, StewardSettings, run_steward};
