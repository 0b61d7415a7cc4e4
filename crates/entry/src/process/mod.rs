//! What lives for the process: settings, shared state, servers and tasks.

mod accounts;
mod app;
mod keys;
mod links;
mod peers;
mod settings;

pub(crate) use {
    accounts::Accounts,
    app::App,
    keys::{KeyWatch, KeyWatches},
};
pub use {app::run_entry, settings::EntrySettings};
