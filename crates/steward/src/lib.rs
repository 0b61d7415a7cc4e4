//! The steward daemon: follows the platform for its VM.

mod process;

pub use process::{StewardSettings, run_steward};
