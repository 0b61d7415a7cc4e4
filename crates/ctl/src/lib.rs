//! The operator's command.

mod command;

pub use command::{ExitReason, run_command};
