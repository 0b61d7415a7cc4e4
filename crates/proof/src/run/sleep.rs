//! Sleeping on the runner's threads, by the system clock.

use {async_io::block_on, clock::SystemClock, std::time::Duration};

/// Blocks the thread for `time`.
pub(super) fn sleep(time: Duration) {
    block_on(SystemClock::shared().sleep(time));
}
