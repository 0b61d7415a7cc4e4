//! Commands, one module each.

mod cli;
mod key;
mod leases;
mod publish;
mod session;
mod show;

pub use cli::{ExitReason, run_command};
