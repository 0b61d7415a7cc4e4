//! The process: settings and tasks.

mod app;
mod leases;
mod revoked;
mod rules;
mod settings;

pub use {
    app::run_steward,
    rules::{FleetSettings, LeaseSettings},
    settings::StewardSettings,
};
