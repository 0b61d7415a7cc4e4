//! What lives for the process: settings, shared state, servers and tasks.

mod app;
mod keys;
mod links;
mod peers;
mod settings;

pub(crate) use {
    app::App,
    keys::{KeyWatch, KeyWatches},
};
pub use {app::run_entry, settings::EntrySettings};
