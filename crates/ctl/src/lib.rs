//! `celeryctl`, the command-line tool of operators.

mod command;

pub use command::{ExitReason, run_command};
