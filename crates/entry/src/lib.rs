//! The entry daemon: takes callers' requests, decides when and where they run, and brings the answers
//! back.
//!
//! Modules are cut by life span: `process`, `version` (of the configuration), `request`; `sched` holds
//! the requests that wait for endpoints.

mod process;
mod request;
mod sched;
mod version;

pub use process::{EntrySettings, run_entry};
