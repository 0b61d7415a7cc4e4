//! One child process, and calls to it.

mod child;
mod http;
mod wait;

pub use {child::Proc, http::Http, wait::wait_until};
