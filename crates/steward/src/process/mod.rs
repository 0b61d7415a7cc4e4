//! What lives for the process: settings and tasks.

mod app;
mod lease;
mod revoked;
mod rules;
mod settings;

pub use {
    app::run_steward,
    rules::{FleetSettings, LeaseSettings},
    settings::StewardSettings,
};
