//! Settings files of single processes.

mod load;

pub use load::{SettingsError, Validate, load_settings};
