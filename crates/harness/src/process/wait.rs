//! Waits on conditions.

use {
    eyre::{Result, bail},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Longest wait for any condition.
const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

/// Waits until `holds`, for at most a wide limit.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > LIMIT {
            bail!("waited {} s in vain: {what}", LIMIT.as_secs());
        }
        thread::sleep(POLL);
    }
    Ok(())
}
