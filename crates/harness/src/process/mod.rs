//! One child process, and calls to it.

mod child;
mod http;
mod wait;

pub use {child::ChildProcess, http::HttpClient, wait::wait_until};
