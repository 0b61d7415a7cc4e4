//! Pauses of the runner's threads, by the one clock.

use {async_io::block_on, clock::SystemClock, std::time::Duration};

/// Blocks the thread for `time`.
pub(super) fn pause(time: Duration) {
    block_on(SystemClock::shared().sleep(time));
}
