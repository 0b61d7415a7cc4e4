//! Settings files of processes.

mod load;

pub use load::{Check, SettingsError, load_settings};
