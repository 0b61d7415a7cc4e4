//! Settings files of processes.

mod load;

pub use load::{SettingsError, Validate, load_settings};
