//! Endpoint choice: which endpoint takes a request. Decisions only: no I/O, and time is an argument.

mod adaptive;
mod budget;
mod hedge;
mod least;
mod picker;
mod robin;
mod table;

pub use {
    adaptive::Adaptive,
    budget::{Budget, RETRY_CAP, RETRY_SHARE},
    hedge::{HEDGE_CAP, HEDGE_SHARE, Hedger},
    least::LeastOutstanding,
    picker::{Ending, LoadReport, Need, Picker, Target},
    robin::RoundRobin,
};
