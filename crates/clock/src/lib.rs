//! The one source of time and timers. Nothing else in celerystage reads a clock.

mod limit;
mod source;
mod stamp;
mod system;
mod test_clock;

pub use {
    limit::{Elapsed, within},
    source::{Clock, SharedClock, Sleep},
    stamp::Stamp,
    system::SystemClock,
    test_clock::TestClock,
};
