//! The subcommands, one module each.

mod burn;
mod cli;
mod key;
mod leases;
mod publish;
mod session;
mod show;

pub use cli::{ExitReason, run_command};
