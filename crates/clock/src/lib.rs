//! Time and timers. Nothing else in celerystage reads a clock, so that tests can substitute one.

mod clock;
mod instant;
mod system;
mod test_clock;
mod timeout;

pub use {
    clock::{Clock, SharedClock, Sleep},
    instant::Instant,
    system::SystemClock,
    test_clock::TestClock,
    timeout::{Elapsed, timeout},
};
