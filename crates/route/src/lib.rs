//! Endpoint choice: which endpoint takes a request. Decisions only: no I/O, and time is an argument.

mod least;
mod picker;
mod robin;
mod table;

pub use {
    least::LeastOutstanding,
    picker::{Ending, LoadReport, Need, Picker, Target},
    robin::RoundRobin,
};
