//! Waiting for conditions.

use {
    eyre::{Result, bail},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Longest wait for any condition.
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` is true, or fails after a timeout with an error that states
/// `description`.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > TIMEOUT {
            bail!(
                "timed out after {} s waiting for: {description}",
                TIMEOUT.as_secs()
            );
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
