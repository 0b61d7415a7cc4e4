//! What lives for the process: settings and tasks.

mod app;
mod settings;

pub use {app::run_steward, settings::StewardSettings};
