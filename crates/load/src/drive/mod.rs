//! Sends requests and checks their answers.

mod driver;
mod sample;
mod send;

pub use {
    driver::Driver,
    sample::{Outcome, Sample},
};
