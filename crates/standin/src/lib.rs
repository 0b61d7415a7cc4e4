//! Stand-ins for the systems that celerystage works with: the platform, a model engine and a plain
//! service. Each records the calls that it received or executed, for checks to read.

pub mod engine;
pub mod platform;
pub mod service;

mod cli;
mod http;

pub use cli::{CommonOptions, run_standin};
