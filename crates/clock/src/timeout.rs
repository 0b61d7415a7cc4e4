//! Time limits on futures.

use {
    super::Clock,
    futures_lite::FutureExt,
    std::{error::Error, fmt, future::Future, time::Duration},
};

/// The error of a future that did not finish within its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "time limit exceeded")
    }
}

impl Error for Elapsed {}

/// Runs `work` for at most `limit`, and drops it when the limit is reached.
pub async fn timeout<T>(
    clock: &dyn Clock,
    limit: Duration,
    work: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    let sleep = clock.sleep(limit);
    let expired = async move {
        sleep.await;
        Err(Elapsed)
    };
    async { Ok(work.await) }.or(expired).await
}
