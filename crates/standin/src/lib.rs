//! Stand-ins of the systems that celerystage works with: the platform, a model engine and a plain
//! service. Each records what really happened, for checks to read.

pub mod engine;
pub mod platform;
pub mod service;

mod cli;
mod reply;

pub use cli::{CommonOptions, run_standin};
