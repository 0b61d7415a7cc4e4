//! Reads the end of a stream without the records before it.

use {
    ports::{Log, PlatformError, Record, Stream},
    std::time::Duration,
};

/// An offset past the end of any stream.
const PAST_END: u64 = i64::MAX as u64;

/// Returns the newest records of `stream`, `count` at most.
pub async fn newest_records(
    log: &dyn Log,
    stream: Stream,
    count: u64,
) -> Result<Vec<Record>, PlatformError> {
    let end = log.read(stream, PAST_END, Duration::ZERO).await?;
    let from = end.next.saturating_sub(count).max(end.first);
    let page = log.read(stream, from, Duration::ZERO).await?;
    Ok(page.records)
}
