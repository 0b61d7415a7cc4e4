//! Sends requests and verifies their responses.

mod driver;
mod sample;
mod send;

pub use {
    driver::Driver,
    sample::{Outcome, Sample},
};
