//! State that lives as long as the process: settings, shared state, servers and background tasks.

mod accounting;
mod app;
mod gossip;
mod key_watch;
mod mesh_handler;
mod settings;

pub(crate) use {
    accounting::Accounting,
    app::App,
    key_watch::{KeyWatch, KeyWatches},
};
pub use {app::run_entry, settings::EntrySettings};
