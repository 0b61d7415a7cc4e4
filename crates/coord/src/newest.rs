//! Reads the newest records of a stream without the ones before.

use {
    ports::{Log, PlatformError, Record, Stream},
    std::time::Duration,
};

/// An offset beyond the end of any stream.
const BEYOND: u64 = i64::MAX as u64;

/// Reads at most `count` of the newest records of `stream`.
pub async fn newest_records(
    log: &dyn Log,
    stream: Stream,
    count: u64,
) -> Result<Vec<Record>, PlatformError> {
    let end = log.read(stream, BEYOND, Duration::ZERO).await?;
    let from = end.next.saturating_sub(count).max(end.first);
    let page = log.read(stream, from, Duration::ZERO).await?;
    Ok(page.records)
}
