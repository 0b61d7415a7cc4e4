//! Child processes, and HTTP calls to them.

mod child;
mod http;
mod wait;

pub use {child::ChildProcess, http::HttpClient, wait::wait_until};
