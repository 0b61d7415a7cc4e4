//! The entry daemon: accepts callers' requests, schedules them and relays the responses of
//! endpoints.
//!
//! Modules are divided by lifetime: `process`, `version` (one version of the shared state) and
//! `request`. `sched` holds the queues of requests and the slots of endpoints.

mod process;
mod request;
mod sched;
mod version;

pub use process::{EntrySettings, run_entry};
